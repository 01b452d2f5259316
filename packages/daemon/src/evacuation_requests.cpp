// Keeps the requests to evacuate data centres up to date, and has an owner
// watch them.

#include "evacuation_requests.h"

#include "daemon_log.h"
#include "owner.h"

namespace cuminbridge {

std::vector<DoubtfulRequest>
EvacuationRequests::Apply(const StoreReply& aReply, bool aIsList)
{
  std::vector<DoubtfulRequest> doubtful;
  if (aIsList) {
    asked_.clear();
  }
  std::set<std::string> added;
  for (const auto& item : aReply.items_) {
    const auto dataCentre = EvacuatedDataCentre(item.key_);
    if (dataCentre.empty()) {
      Note(item.key_, "its key names no data centre", doubtful);
    } else if (!item.isRemoved_) {
      added.insert(dataCentre);
      Add(item, doubtful);
    } else if (asked_.erase(dataCentre) != 0 && added.count(dataCentre) != 0) {
      Note(item.key_, "removed before it was read", doubtful);
    }
  }
  return doubtful;
}

void
EvacuationRequests::Add(const StoreItem& aItem,
                        std::vector<DoubtfulRequest>& aDoubtful)
{
  const auto dataCentre = EvacuatedDataCentre(aItem.key_);
  asked_.insert(dataCentre);
  if (!known_.empty() && known_.count(dataCentre) == 0) {
    Note(aItem.key_, "the settings name no such data centre", aDoubtful);
  }
  if (!IsEvacuationReadable(aItem.value_)) {
    Note(aItem.key_, "its value can't be decoded; it holds", aDoubtful);
  }
}

void
EvacuationRequests::Note(const std::string& aKey,
                         std::string aWhy,
                         std::vector<DoubtfulRequest>& aDoubtful)
{
  if (noted_.insert(aKey + ' ' + aWhy).second) {
    aDoubtful.push_back({ aKey, std::move(aWhy) });
  }
}

//-----------------------------------------------------------------------------
// [SECTION] The watch of an owner
//-----------------------------------------------------------------------------

// Lists the requests once, then watches them. They are few and change rarely,
// so a watch reports all changes.
Awaitable<void>
Owner::WatchEvacuations()
{
  constexpr Millis kRetryPause(100);
  // Some watches may fail before what is known is too old.
  constexpr int kWatchesInLimit = 5;
  const auto self = shared_from_this();
  const auto wait = context_.settings_.evacuationLimit_ / kWatchesInLimit;
  EvacuationRequests requests(context_.settings_.dataCentres_);
  std::int64_t after = 0;
  bool mustList = true;
  while (!hasEnded_) {
    StoreReply reply;
    const auto sentAt = context_.clocks_.Now();
    if (mustList) {
      reply = co_await context_.store_.List(kEvacuationPrefix);
    } else {
      reply = co_await context_.store_.Watch(kEvacuationPrefix, after, wait);
    }
    if (hasEnded_) {
      co_return;
    }
    if (reply.IsDone()) {
      for (const auto& request : requests.Apply(reply, mustList)) {
        WriteLine({ "evacuation_doubtful",
                    "",
                    "",
                    "",
                    request.key_ + ": " + request.why_ },
                  context_.clocks_.Now());
      }
      after = NextWatchRevision(after, reply, mustList);
      mustList = !mustList && !ReportsAllChanges(reply);
      Handle(EvacuationsSeen{ requests.DataCentres(), sentAt });
      continue;
    }
    mustList = mustList || reply.status_ == StoreStatus::Expired;
    co_await Sleep(context_.io_, kRetryPause);
  }
}

} // namespace cuminbridge
