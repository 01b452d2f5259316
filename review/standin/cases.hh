// The cases of the review that are scripts.

#ifndef cuminbridge_review_cases_hh
#define cuminbridge_review_cases_hh

#include "world.hh"

namespace review {

constexpr int kEntries = 3;
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

struct Case
{
  std::function<void(World&)> start_;
  std::function<Awaitable<int>(World&, bool aHasTrouble)> run_;
};

const std::map<std::string, Case>& Cases();

} // namespace review

#endif // cuminbridge_review_cases_hh
