// Seeds of random histories: a fixed range, or one given by hand.

#ifndef cuminbridge_fleet_tests_seeds_h
#define cuminbridge_fleet_tests_seeds_h

#include <cstdlib>

namespace cuminbridge {

struct SeedRange
{
  unsigned first_ = 1;
  unsigned end_ = 1; // not part of it
};

// The environment variables CUMINBRIDGE_FIRST and CUMINBRIDGE_HISTORIES replace
// the range.
inline SeedRange
ReadSeeds(unsigned aDefaultCount)
{
  const auto read = [](const char* aName, unsigned aDefault) {
    const char* text = std::getenv(aName);
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10))
                : aDefault;
  };
  const auto first = read("CUMINBRIDGE_FIRST", 1);
  return { first, first + read("CUMINBRIDGE_HISTORIES", aDefaultCount) };
}

} // namespace cuminbridge

#endif // cuminbridge_fleet_tests_seeds_h
