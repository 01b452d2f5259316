// Internal: what a target delivered lately, and whether that shows it slow.

#ifndef cuminbridge_fleet_target_record_target_record_h
#define cuminbridge_fleet_target_record_target_record_h

#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

// One run on a target, completed or going on.
struct Delivery
{
  std::string job_;
  // How likely a target of usual speed needs as long for it; see
  // RunTail::ChanceOfLonger().
  double chance_ = 1;

  bool operator==(const Delivery&) const = default;
};

// The runs that a target has completed lately.
class TargetRecord
{
public:
  void Add(Delivery aDelivery, Instant aNow);
  // Adds the completed runs that are recent to aDeliveries.
  void CollectRecent(Instant aNow, std::vector<Delivery>& aDeliveries) const;

private:
  struct Entry
  {
    Delivery delivery_;
    Instant at_;
  };
  std::vector<Entry> entries_; // from the earliest to the latest
};

// The chance that a target of usual speed delivers as slowly as this, or more
// slowly; 1 if there are no deliveries. The runs of one job count as one, with
// their median: their lengths depend on each other, so that several long runs
// of one job show no more than one of them. Designed for work in which a few
// jobs take many times as long as the rest, while targets hold runs of several
// jobs.
double ChanceOfUsualSpeed(const std::vector<Delivery>& aDeliveries);

// Below this chance, a target counts as slow.
inline constexpr double kSlowChance = 0.005;

} // namespace cuminbridge

#endif // cuminbridge_fleet_target_record_target_record_h
