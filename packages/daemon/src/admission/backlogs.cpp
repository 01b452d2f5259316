// What an entry knows of the backlogs of all cells.

#include "backlogs.h"

#include <algorithm>
#include <tuple>

namespace cuminbridge {

void
Backlogs::Note(int aCell, BacklogReport aReport, Instant aAskedAt)
{
  auto& cell = cells_[aCell];
  const auto order = [](const BacklogReport& aOne) {
    return std::tuple(aOne.term_, aOne.version_);
  };
  if (order(aReport) < order(cell.report_)) {
    return;
  }
  cell.report_ = std::move(aReport);
  cell.askedAt_ = aAskedAt;
}

void
Backlogs::NoteNone(int aCell)
{
  cells_[aCell].report_.pools_.clear();
}

const PoolBacklog*
Backlogs::FindPool(const Cell& aCell, const std::string& aPool)
{
  const auto& pools = aCell.report_.pools_;
  const auto found =
    std::find_if(pools.begin(), pools.end(), [&](const PoolBacklog& aOne) {
      return aOne.pool_ == aPool;
    });
  return found == pools.end() ? nullptr : &*found;
}

std::optional<Backlogs::Known>
Backlogs::Find(int aCell, const std::string& aPool, Instant aNow) const
{
  const auto cell = cells_.find(aCell);
  if (cell == cells_.end() || aNow - cell->second.askedAt_ > kMaxBacklogAge) {
    return std::nullopt;
  }
  const auto* backlog = FindPool(cell->second, aPool);
  if (!backlog) {
    return std::nullopt;
  }
  const auto& report = cell->second.report_;
  return Known{ *backlog,
                report.term_,
                report.version_,
                std::chrono::duration_cast<Millis>(aNow -
                                                   cell->second.askedAt_) };
}

bool
Backlogs::TakeQuestion(int aCell, const std::string& aPool, Instant aNow)
{
  const auto found = cells_.find(aCell);
  if (found == cells_.end() || !FindPool(found->second, aPool) ||
      aNow - found->second.askedAt_ < kBacklogInterval ||
      aNow < found->second.nextQuestion_) {
    return false;
  }
  found->second.nextQuestion_ = aNow + kBacklogInterval;
  return true;
}

} // namespace cuminbridge
