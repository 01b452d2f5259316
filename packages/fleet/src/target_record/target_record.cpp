// What a target delivered lately, and whether that shows it slow.

#include "target_record/target_record.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cuminbridge {

namespace {

// Older deliveries say nothing about a target that has turned slow since.
constexpr Millis kRecent(1500);
constexpr std::size_t kMaxEntries = 64;

double
MedianOf(std::vector<double>& aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

void
TargetRecord::Add(Delivery aDelivery, Instant aNow)
{
  const auto old =
    std::find_if(entries_.begin(), entries_.end(), [&](const Entry& aEntry) {
      return aNow - aEntry.at_ <= kRecent;
    });
  entries_.erase(entries_.begin(), old);
  if (entries_.size() == kMaxEntries) {
    entries_.erase(entries_.begin());
  }
  entries_.push_back({ std::move(aDelivery), aNow });
}

void
TargetRecord::CollectRecent(Instant aNow,
                            std::vector<Delivery>& aDeliveries) const
{
  for (const auto& entry : entries_) {
    if (aNow - entry.at_ <= kRecent) {
      aDeliveries.push_back(entry.delivery_);
    }
  }
}

double
ChanceOfUsualSpeed(const std::vector<Delivery>& aDeliveries)
{
  std::map<std::string, std::vector<double>> chances; // by job
  for (const auto& delivery : aDeliveries) {
    chances[delivery.job_].push_back(delivery.chance_);
  }
  // Fisher's method: the chance that the product of as many independent
  // uniformly distributed values is at most the product of these.
  double logOfProduct = 0;
  for (auto& [job, values] : chances) {
    logOfProduct += std::log(MedianOf(values));
  }
  double term = std::exp(logOfProduct);
  double chance = 0;
  for (std::size_t index = 0; index < chances.size(); ++index) {
    chance += term;
    term *= -logOfProduct / static_cast<double>(index + 1);
  }
  return chances.empty() ? 1 : std::min(1.0, chance);
}

} // namespace cuminbridge
