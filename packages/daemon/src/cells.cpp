// How the fleet is divided into cells.

#include "cells.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cuminbridge {

namespace {

std::uint64_t
Hash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

// Whether a candidate is strong enough beside the strongest one.
bool
IsStrong(const OwnerCandidate& aCandidate, double aStrongest)
{
  return !ShouldYield(aCandidate.cpuShare_, aStrongest);
}

std::map<int, int>
CountVmsByCell(const Wave& aWave, const CellMap& aMap)
{
  std::map<int, int> counts;
  for (const auto& vm : aWave.vms_) {
    ++counts[aMap.CellOfVm(vm)];
  }
  return counts;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Division
//-----------------------------------------------------------------------------

int
CellOf(std::string_view aName, int aCount)
{
  constexpr std::uint64_t kSeed = 0x63656c6c; // must never change
  return aCount <= 1 ? 0
                     : static_cast<int>(Hash(aName, kSeed) %
                                        static_cast<std::uint64_t>(aCount));
}

int
CellMap::CellOfVm(std::string_view aName) const
{
  const auto found = vms_.find(aName);
  return found == vms_.end() ? CellOf(aName, count_) : found->second;
}

CellMap
DealVms(std::vector<Vm> aVms, int aCount)
{
  CellMap map;
  map.count_ = aCount;
  if (aCount == 1) {
    return map;
  }
  std::sort(aVms.begin(), aVms.end(), [](const Vm& aLeft, const Vm& aRight) {
    return std::tie(aLeft.pool_, aLeft.rack_, aLeft.name_) <
           std::tie(aRight.pool_, aRight.rack_, aRight.name_);
  });
  int next = 0;
  for (const auto& vm : aVms) {
    map.vms_[vm.name_] = next;
    next = (next + 1) % aCount;
  }
  return map;
}

std::string
EncodeCellMap(const CellMap& aMap)
{
  if (aMap.vms_.empty()) {
    return std::to_string(aMap.count_);
  }
  nlohmann::json cells = nlohmann::json::array();
  for (int cell = 0; cell < aMap.count_; ++cell) {
    cells.push_back(nlohmann::json::array());
  }
  for (const auto& [vm, cell] : aMap.vms_) {
    cells.at(static_cast<std::size_t>(cell)).push_back(vm);
  }
  return cells.dump();
}

CellMap
DecodeCellMap(const std::string& aText)
{
  const auto record = nlohmann::json::parse(aText, nullptr, false);
  CellMap map;
  if (record.is_number_integer()) {
    map.count_ = std::max(1, record.get<int>());
  } else if (record.is_array() && !record.empty()) {
    map.count_ = static_cast<int>(record.size());
    int cell = 0;
    for (const auto& vms : record) {
      for (const auto& vm : vms) {
        if (vm.is_string()) {
          map.vms_[vm.get<std::string>()] = cell;
        }
      }
      ++cell;
    }
  }
  return map;
}

int
ChooseCellCount(std::size_t aVms, const std::vector<EntryCapacity>& aEntries)
{
  // What a busy VM costs its owner; docs/CAPACITY.md has the measurements.
  constexpr double kBytesPerSecond = 4000; // each way
  constexpr double kCpuShare = 0.0003;     // of a core
  // Parts of an entry's capacity that an owner uses on average. The rest is for
  // demand peaks, and for callers.
  constexpr double kUsableLink = 0.4;
  constexpr double kUsableCpu = 0.5;
  double most = static_cast<double>(aVms);
  for (const auto& entry : aEntries) {
    most = std::min({ most,
                      kUsableLink * entry.linkBytesPerSecond_ / kBytesPerSecond,
                      kUsableCpu * entry.cpuShare_ / kCpuShare });
  }
  most = std::max(most, static_cast<double>(kMinCellVms));
  return std::max(
    1, static_cast<int>(std::ceil(static_cast<double>(aVms) / most)));
}

Millis
VmListInterval(int aPages, int aCells, double aPagesPerSecond)
{
  constexpr double kUsedPart = 0.6; // owners change, and lists are read again
  constexpr double kMillis = 1000;
  return Millis(static_cast<std::int64_t>(
    kMillis * aPages * aCells / std::max(1.0, kUsedPart * aPagesPerSecond)));
}

int
MaxCellsByVmList(int aPages, double aPagesPerSecond)
{
  constexpr Millis kLongest(1500); // a move takes as long; see kOrderTimeout
  const auto oneCell = VmListInterval(aPages, 1, aPagesPerSecond);
  return static_cast<int>(std::max<std::int64_t>(
    1, kLongest.count() / std::max<std::int64_t>(1, oneCell.count())));
}

//-----------------------------------------------------------------------------
// [SECTION] Who owns a cell
//-----------------------------------------------------------------------------

std::vector<OwnerCandidate>
RankCandidates(std::vector<OwnerCandidate> aCandidates, int aCell)
{
  double strongest = 0;
  for (const auto& candidate : aCandidates) {
    strongest = std::max(strongest, candidate.cpuShare_);
  }
  const auto key = [&](const OwnerCandidate& aCandidate) {
    return std::make_tuple(
      !IsStrong(aCandidate, strongest),
      aCandidate.cells_,
      Hash(aCandidate.name_, static_cast<std::uint64_t>(aCell)));
  };
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [&](const OwnerCandidate& aLeft, const OwnerCandidate& aRight) {
              return key(aLeft) < key(aRight);
            });
  return aCandidates;
}

Millis
ElectionDelay(std::size_t aPlace)
{
  constexpr Millis kStep(20); // an entry takes a cell within some 15 ms
  constexpr std::size_t kMaxSteps = 15;
  return kStep * std::min(aPlace, kMaxSteps);
}

bool
ShouldYield(double aShare, double aOtherShare)
{
  // A change of owner pauses the cell for 0.1 s, which only a far larger share
  // is worth.
  constexpr double kYieldRatio = 0.6;
  return aShare < kYieldRatio * aOtherShare;
}

//-----------------------------------------------------------------------------
// [SECTION] Maintenance waves
//-----------------------------------------------------------------------------

std::set<int>
CellsOfWave(const Wave& aWave, const CellMap& aMap)
{
  std::set<int> cells;
  for (const auto& [cell, vms] : CountVmsByCell(aWave, aMap)) {
    cells.insert(cell);
  }
  return cells;
}

Wave
PartOfWave(const Wave& aWave,
           const CellMap& aMap,
           int aCell,
           const std::set<int>& aCompleted)
{
  Wave part = aWave;
  std::erase_if(part.vms_, [&](const std::string& aVm) {
    return aMap.CellOfVm(aVm) != aCell;
  });
  if (part.vms_.empty() || aMap.count_ == 1) {
    return part;
  }
  const auto counts = CountVmsByCell(aWave, aMap);
  const auto total = static_cast<int>(aWave.vms_.size());
  int left = aWave.maxDown_;
  std::vector<std::pair<int, int>> byRemainder; // negative remainder, cell
  std::map<int, int> quotas;
  for (const auto& [cell, vms] : counts) {
    quotas[cell] = aWave.maxDown_ * vms / total;
    left -= quotas[cell];
    byRemainder.emplace_back(-(aWave.maxDown_ * vms % total), cell);
  }
  std::sort(byRemainder.begin(), byRemainder.end());
  for (const auto& [remainder, cell] : byRemainder) {
    if (left > 0 && quotas[cell] < counts.at(cell)) {
      ++quotas[cell];
      --left;
    }
  }
  part.maxDown_ = quotas[aCell];
  if (part.maxDown_ > 0) {
    return part;
  }
  // Cells without a quota come last, one after the other.
  for (const auto& [cell, quota] : quotas) {
    const bool isBefore = quota > 0 || cell < aCell;
    if (isBefore && aCompleted.count(cell) == 0) {
      return part;
    }
  }
  part.maxDown_ = aWave.maxDown_;
  return part;
}

} // namespace cuminbridge
