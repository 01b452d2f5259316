// Which connection is closed when a limit is met.

#include "limits/connection_table.h"

#include <algorithm>

namespace cuminbridge {

const char*
NameOf(LimitCause aCause)
{
  static constexpr std::array<const char*, kLimitCauses> kNames = {
    "connections", "peer_connections", "memory",       "head_size",
    "body_size",   "slow_request",     "unread_answer"
  };
  return kNames[static_cast<std::size_t>(aCause)];
}

void
ConnectionTable::Count(LimitCause aCause)
{
  ++counts_[static_cast<std::size_t>(aCause)];
}

void
ConnectionTable::Forget(LimitedConnection& aConnection)
{
  if (aConnection.isClosed_) {
    return;
  }
  aConnection.isClosed_ = true;
  --openCount_;
  heldBytes_ -= std::exchange(aConnection.heldBytes_, 0);
  const auto peer = peers_.find(aConnection.peer_);
  if (--peer->second == 0) {
    peers_.erase(peer);
  }
}

void
ConnectionTable::CloseFor(LimitedConnection& aConnection, LimitCause aCause)
{
  Count(aCause);
  Forget(aConnection);
  aConnection.Close();
}

bool
ConnectionTable::MakeRoom(std::size_t aMost)
{
  if (openCount_ < aMost) {
    return true;
  }
  for (const auto& row : rows_) {
    if (!row->isHandling_ && !row->isClosed_) {
      CloseFor(*row, LimitCause::Connections);
      return true;
    }
  }
  return false;
}

std::size_t
ConnectionTable::CountOfPeer(const std::string& aPeer) const
{
  const auto peer = peers_.find(aPeer);
  return peer == peers_.end() ? 0 : peer->second;
}

void
ConnectionTable::Add(const Row& aRow)
{
  places_[aRow.get()] = rows_.insert(rows_.end(), aRow);
  ++openCount_;
  ++peers_[aRow->peer_];
}

void
ConnectionTable::Remove(const Row& aRow)
{
  Forget(*aRow);
  const auto place = places_.find(aRow.get());
  rows_.erase(place->second);
  places_.erase(place);
}

void
ConnectionTable::Renew(const Row& aRow)
{
  rows_.splice(rows_.end(), rows_, places_.at(aRow.get()));
}

bool
ConnectionTable::Hold(const Row& aRow, std::size_t aBytes, std::size_t aMost)
{
  if (aRow->isClosed_) {
    return false;
  }
  heldBytes_ += aBytes;
  heldBytes_ -= std::exchange(aRow->heldBytes_, aBytes);
  for (const auto& row : rows_) {
    if (heldBytes_ <= aMost) {
      break;
    }
    if (row != aRow && row->heldBytes_ > 0 && !row->isHandling_) {
      CloseFor(*row, LimitCause::Memory);
    }
  }
  if (heldBytes_ <= aMost) {
    return true;
  }
  heldBytes_ -= std::exchange(aRow->heldBytes_, 0);
  Count(LimitCause::Memory);
  return false;
}

} // namespace cuminbridge
