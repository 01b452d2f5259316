// Agreement on the configuration in force. agreement.h explains the rule.

#include "agreement.h"

#include <algorithm>

#include "permits.h"
#include "records.h"
#include "routing.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kHeadReadInterval = std::chrono::seconds(1);
constexpr Duration kStaleReadInterval = std::chrono::milliseconds(500);
constexpr Duration kConfigAskInterval = std::chrono::milliseconds(100);
constexpr Duration kPeerRetention = std::chrono::seconds(60);
constexpr std::size_t kHeartbeatsRemembered = 16;
constexpr std::size_t kMaxPending = 8;

// The latest time for which a majority of the members, this entry included, has
// confirmed that it knew of nothing newer. TimePoint::min() if there is none.
TimePoint
MajorityEvidence(const Entry& aEntry, TimePoint aNow)
{
  const Agreement& agreement = aEntry.agreement_;
  std::vector<TimePoint> times;
  for (const Member& member : agreement.inForce_->members_) {
    if (IsSelf(aEntry, member)) {
      times.push_back(aNow);
      continue;
    }
    const auto peer = agreement.peers_.find(member.id_);
    const bool isSame = peer != agreement.peers_.end() &&
                        peer->second.incarnation_ == member.incarnation_;
    times.push_back(isSame ? peer->second.evidenceAt_ : TimePoint::min());
  }
  if (times.empty()) {
    return TimePoint::min();
  }
  const std::size_t last = MajorityOf(times.size()) - 1;
  std::nth_element(times.begin(),
                   times.begin() + static_cast<std::ptrdiff_t>(last),
                   times.end(),
                   std::greater<>());
  return times[last];
}

void
UpdateFreshness(EventContext& aContext)
{
  Agreement& agreement = aContext.entry_.agreement_;
  if (!agreement.inForce_) {
    return;
  }
  const TimePoint evidence =
    std::max(MajorityEvidence(aContext.entry_, aContext.now_),
             agreement.storeEvidenceAt_);
  if (evidence == TimePoint::min()) {
    return;
  }
  const bool wasFresh = aContext.now_ < agreement.freshUntil_;
  agreement.freshUntil_ = evidence + aContext.entry_.options_.evidenceLifetime_;
  if (!wasFresh && aContext.now_ < agreement.freshUntil_) {
    aContext.Note("fresh", "the configuration is confirmed; work may start");
    DispatchAll(aContext);
  }
}

bool
IsPendingKnown(const Agreement& aAgreement, const std::string& aOperation)
{
  return std::any_of(aAgreement.pending_.begin(),
                     aAgreement.pending_.end(),
                     [&](const PendingChange& aPending) {
                       return aPending.prepare_.operation_ == aOperation;
                     });
}

void
RequestConfig(EventContext& aContext, const std::string& aPeer)
{
  Agreement& agreement = aContext.entry_.agreement_;
  if (aContext.now_ < agreement.nextConfigAsk_) {
    return;
  }
  agreement.nextConfigAsk_ = aContext.now_ + kConfigAskInterval;
  ConfigRequest ask;
  if (agreement.inForce_) {
    ask.haveRevision_ = agreement.inForce_->revision_;
    ask.haveNumber_ = agreement.inForce_->config_->number_;
  }
  SendToPeer(aContext, aPeer, ask);
}

// Addresses that get heartbeats: members, recently heard peers, and seeds.
std::set<std::string>
KnownAddresses(const Entry& aEntry, TimePoint aNow)
{
  const Agreement& agreement = aEntry.agreement_;
  std::set<std::string> addresses(aEntry.options_.seeds_.begin(),
                                  aEntry.options_.seeds_.end());
  if (agreement.inForce_) {
    for (const Member& member : agreement.inForce_->members_) {
      addresses.insert(member.peerAddress_);
    }
  }
  for (const auto& [id, peer] : agreement.peers_) {
    if (aNow - peer.lastHeardAt_ < kPeerRetention) {
      addresses.insert(peer.address_);
    }
  }
  addresses.erase(aEntry.options_.self_.peerAddress_);
  return addresses;
}

void
SendHeartbeats(EventContext& aContext)
{
  Agreement& agreement = aContext.entry_.agreement_;
  agreement.nextHeartbeat_ =
    aContext.now_ + aContext.entry_.options_.heartbeatInterval_;
  const auto addresses = KnownAddresses(aContext.entry_, aContext.now_);
  if (addresses != agreement.linkedAddresses_) {
    agreement.linkedAddresses_ = addresses;
    aContext.Emit(SetPeerLinks{ { addresses.begin(), addresses.end() } });
  }
  Heartbeat beat;
  beat.sequence_ = ++agreement.heartbeatSequence_;
  beat.accounts_ = ReportAccountUse(aContext.entry_);
  agreement.heartbeatSentAt_[beat.sequence_] = aContext.now_;
  if (agreement.heartbeatSentAt_.size() > kHeartbeatsRemembered) {
    agreement.heartbeatSentAt_.erase(agreement.heartbeatSentAt_.begin());
  }
  for (const std::string& address : addresses) {
    aContext.Emit(SendPeer{ address, beat });
  }
}

// Is this entry the one of its data centre that reads the head for the others?
// It is the first responsive member there.
bool
IsHeadReader(const Entry& aEntry, TimePoint aNow)
{
  const Member& self = aEntry.options_.self_;
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    const bool isHere = member.dataCentre_ == self.dataCentre_;
    if (isHere &&
        (IsSelf(aEntry, member) || IsResponsive(aEntry, member.id_, aNow))) {
      return IsSelf(aEntry, member);
    }
  }
  return false;
}

bool
IsHeadReadDue(const Entry& aEntry, TimePoint aNow)
{
  const Agreement& agreement = aEntry.agreement_;
  if (agreement.headCall_ != 0 || aNow < agreement.nextHeadRead_) {
    return false;
  }
  return !agreement.inForce_ || !IsFresh(aEntry, aNow) ||
         IsHeadReader(aEntry, aNow);
}

void
ReadHead(EventContext& aContext, bool aIsWhole)
{
  Agreement& agreement = aContext.entry_.agreement_;
  agreement.headCall_ = aContext.entry_.nextCall_++;
  agreement.headReadSentAt_ = aContext.now_;
  agreement.isWholeRead_ = aIsWhole;
  const std::string_view key = aIsWhole ? kConfigPrefix : kHeadKey;
  aContext.Emit(StoreRead{ agreement.headCall_, std::string(key), aIsWhole });
}

} // namespace

std::size_t
MajorityOf(std::size_t aMembers)
{
  return aMembers / 2 + 1;
}

bool
IsFresh(const Entry& aEntry, TimePoint aNow)
{
  return aEntry.agreement_.inForce_ && aNow < aEntry.agreement_.freshUntil_;
}

const Member*
FindMember(const Entry& aEntry,
           const std::string& aId,
           std::uint64_t aIncarnation)
{
  if (!aEntry.agreement_.inForce_) {
    return nullptr;
  }
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    if (member.id_ == aId && member.incarnation_ == aIncarnation) {
      return &member;
    }
  }
  return nullptr;
}

bool
IsSelf(const Entry& aEntry, const Member& aMember)
{
  const Member& self = aEntry.options_.self_;
  return aMember.id_ == self.id_ && aMember.incarnation_ == self.incarnation_;
}

bool
IsMember(const Entry& aEntry)
{
  const Member& self = aEntry.options_.self_;
  return FindMember(aEntry, self.id_, self.incarnation_) != nullptr;
}

bool
IsResponsive(const Entry& aEntry, const std::string& aId, TimePoint aNow)
{
  const auto peer = aEntry.agreement_.peers_.find(aId);
  return peer != aEntry.agreement_.peers_.end() && !peer->second.isLeaving_ &&
         aNow - peer->second.lastHeardAt_ < aEntry.options_.memberTimeout_;
}

std::string
FindCoordinator(const Entry& aEntry, TimePoint aNow)
{
  if (!aEntry.agreement_.inForce_) {
    return "";
  }
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    if (IsSelf(aEntry, member) || IsResponsive(aEntry, member.id_, aNow)) {
      return member.id_;
    }
  }
  return "";
}

std::string
FindNextCoordinator(const Entry& aEntry, TimePoint aNow)
{
  if (!aEntry.agreement_.inForce_) {
    return "";
  }
  for (const Member& member : aEntry.agreement_.inForce_->members_) {
    if (IsResponsive(aEntry, member.id_, aNow)) {
      return member.id_;
    }
  }
  return "";
}

bool
IsCoordinator(const Entry& aEntry, TimePoint aNow)
{
  return IsMember(aEntry) &&
         FindCoordinator(aEntry, aNow) == aEntry.options_.self_.id_;
}

ConfigDelta
MakeDelta(const Snapshot& aSnapshot, std::int64_t aSinceNumber)
{
  ConfigDelta delta;
  delta.revision_ = aSnapshot.revision_;
  delta.number_ = aSnapshot.config_->number_;
  delta.digest_ = aSnapshot.config_->digest_;
  delta.sinceNumber_ = aSinceNumber;
  delta.members_ = aSnapshot.members_;
  for (const auto& [name, pool] : aSnapshot.config_->pools_) {
    if (pool->changedIn_ > aSinceNumber) {
      delta.pools_.push_back(*pool);
    }
  }
  for (const auto& [name, account] : aSnapshot.config_->accounts_) {
    if (account->changedIn_ > aSinceNumber) {
      delta.accounts_.push_back(*account);
    }
  }
  return delta;
}

ConfigPtr
ApplyDelta(const ConfigDelta& aDelta, const Config* aBase)
{
  const std::int64_t baseNumber = aBase == nullptr ? -1 : aBase->number_;
  if (baseNumber < aDelta.sinceNumber_) {
    return nullptr;
  }
  ConfigBuilder builder =
    aBase == nullptr ? ConfigBuilder() : ConfigBuilder(*aBase);
  builder.SetTicket(aDelta.number_, aDelta.digest_);
  for (const PoolConfig& pool : aDelta.pools_) {
    builder.SetPool(std::make_shared<const PoolConfig>(pool));
  }
  for (const AccountConfig& account : aDelta.accounts_) {
    builder.SetAccount(std::make_shared<const AccountConfig>(account));
  }
  return builder.Build();
}

void
Adopt(EventContext& aContext, SnapshotPtr aSnapshot, std::string_view aSource)
{
  Agreement& agreement = aContext.entry_.agreement_;
  const SnapshotPtr old = agreement.inForce_;
  if (!aSnapshot || (old && aSnapshot->revision_ <= old->revision_)) {
    return;
  }
  if (!old) {
    agreement.firstConfigAt_ = aContext.now_;
  }
  agreement.inForce_ = std::move(aSnapshot);
  std::erase_if(agreement.pending_, [&](const PendingChange& aPending) {
    return aPending.prepare_.baseRevision_ < agreement.inForce_->revision_;
  });
  aContext.Note(
    "in force",
    "ticket " + std::to_string(agreement.inForce_->config_->number_) +
      ", revision " + std::to_string(agreement.inForce_->revision_) +
      ", from " + std::string(aSource));
  ++aContext.entry_.counts_["config_adopted"];
  OnConfigInForce(aContext, old);
  if (!old || old->members_ != agreement.inForce_->members_) {
    OnMembersInForce(aContext, old ? old->members_ : std::vector<Member>());
  }
  UpdateFreshness(aContext);
}

void
SetStoreEvidence(EventContext& aContext, TimePoint aSentAt)
{
  Agreement& agreement = aContext.entry_.agreement_;
  agreement.storeEvidenceAt_ = std::max(agreement.storeEvidenceAt_, aSentAt);
  UpdateFreshness(aContext);
}

bool
AddPending(EventContext& aContext,
           const Prepare& aPrepare,
           const std::string& aProposer)
{
  Agreement& agreement = aContext.entry_.agreement_;
  if (IsPendingKnown(agreement, aPrepare.operation_)) {
    return true;
  }
  if (!agreement.inForce_ ||
      agreement.inForce_->revision_ != aPrepare.baseRevision_ ||
      agreement.pending_.size() >= kMaxPending) {
    return false;
  }
  ConfigPtr next =
    ApplyDelta(aPrepare.change_, agreement.inForce_->config_.get());
  if (!next) {
    return false;
  }
  agreement.pending_.push_back(
    { aPrepare, std::move(next), aProposer, aContext.now_ });
  return true;
}

void
DropPending(Entry& aEntry, const std::string& aOperation)
{
  std::erase_if(aEntry.agreement_.pending_, [&](const PendingChange& aPending) {
    return aPending.prepare_.operation_ == aOperation;
  });
}

void
SendToPeer(EventContext& aContext, const std::string& aId, PeerMessage aMessage)
{
  const auto& peers = aContext.entry_.agreement_.peers_;
  const auto peer = peers.find(aId);
  if (peer != peers.end()) {
    aContext.Emit(SendPeer{ peer->second.address_, std::move(aMessage) });
  }
}

void
SendToMembers(EventContext& aContext, const PeerMessage& aMessage)
{
  const Agreement& agreement = aContext.entry_.agreement_;
  if (!agreement.inForce_) {
    return;
  }
  for (const Member& member : agreement.inForce_->members_) {
    if (member.id_ != aContext.entry_.options_.self_.id_) {
      aContext.Emit(SendPeer{ member.peerAddress_, aMessage });
    }
  }
}

void
OnHeartbeat(EventContext& aContext,
            const PeerFrame& aFrame,
            const Heartbeat& aBeat)
{
  const Agreement& agreement = aContext.entry_.agreement_;
  HeartbeatAck ack;
  ack.sequence_ = aBeat.sequence_;
  if (agreement.inForce_) {
    ack.revision_ = agreement.inForce_->revision_;
    ack.number_ = agreement.inForce_->config_->number_;
  }
  for (const PendingChange& pending : agreement.pending_) {
    ack.pending_.push_back(pending.prepare_.operation_);
  }
  SendToPeer(aContext, aFrame.from_, ack);
  PeerState& peer = aContext.entry_.agreement_.peers_.at(aFrame.from_);
  ApplyPeerAccountUse(aContext.entry_, peer, aBeat.accounts_);
}

void
OnHeartbeatAck(EventContext& aContext,
               const PeerFrame& aFrame,
               const HeartbeatAck& aAck)
{
  Agreement& agreement = aContext.entry_.agreement_;
  PeerState& peer = agreement.peers_.at(aFrame.from_);
  peer.revision_ = aAck.revision_;
  peer.number_ = aAck.number_;
  const auto sentAt = agreement.heartbeatSentAt_.find(aAck.sequence_);
  if (sentAt == agreement.heartbeatSentAt_.end()) {
    return;
  }
  const std::int64_t ourRevision =
    agreement.inForce_ ? agreement.inForce_->revision_ : 0;
  // A peer with an older revision may still list changes as pending that have
  // been decided long ago. They say nothing about newer changes.
  const bool isAllKnown =
    aAck.revision_ < ourRevision ||
    std::all_of(aAck.pending_.begin(),
                aAck.pending_.end(),
                [&](const std::string& aOperation) {
                  return IsPendingKnown(agreement, aOperation);
                });
  if (aAck.revision_ > ourRevision || !isAllKnown) {
    RequestConfig(aContext, aFrame.from_);
    return;
  }
  peer.evidenceAt_ = std::max(peer.evidenceAt_, sentAt->second);
  UpdateFreshness(aContext);
}

void
OnConfigRequest(EventContext& aContext,
                const PeerFrame& aFrame,
                const ConfigRequest& aRequest)
{
  const Agreement& agreement = aContext.entry_.agreement_;
  if (!agreement.inForce_) {
    return;
  }
  ConfigReply reply;
  reply.inForce_ = MakeDelta(*agreement.inForce_, aRequest.haveNumber_);
  for (const PendingChange& pending : agreement.pending_) {
    reply.pending_.push_back(pending.prepare_);
  }
  SendToPeer(aContext, aFrame.from_, reply);
}

void
OnConfigReply(EventContext& aContext,
              const PeerFrame& aFrame,
              const ConfigReply& aReply)
{
  Agreement& agreement = aContext.entry_.agreement_;
  const ConfigDelta& delta = aReply.inForce_;
  const Config* base =
    agreement.inForce_ ? agreement.inForce_->config_.get() : nullptr;
  const std::int64_t ourRevision =
    agreement.inForce_ ? agreement.inForce_->revision_ : 0;
  if (delta.revision_ > ourRevision) {
    ConfigPtr config = ApplyDelta(delta, base);
    if (!config) {
      RequestConfig(aContext, aFrame.from_);
      return;
    }
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->revision_ = delta.revision_;
    snapshot->members_ = delta.members_;
    snapshot->config_ = std::move(config);
    Adopt(aContext, std::move(snapshot), aFrame.from_);
  }
  for (const Prepare& prepare : aReply.pending_) {
    AddPending(aContext, prepare, aFrame.from_);
  }
  SendToPeer(
    aContext, aFrame.from_, ConfigAck{ agreement.inForce_->revision_ });
}

void
OnHeadAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  Agreement& agreement = aContext.entry_.agreement_;
  const TimePoint sentAt = agreement.headReadSentAt_;
  agreement.headCall_ = 0;
  agreement.nextHeadRead_ =
    aContext.now_ + (IsFresh(aContext.entry_, aContext.now_)
                       ? kHeadReadInterval
                       : kStaleReadInterval);
  if (aAnswer.status_ != StoreStatus::Ok || aAnswer.values_.empty()) {
    return;
  }
  const bool isHeadOnly = !agreement.isWholeRead_;
  const std::int64_t ourRevision =
    agreement.inForce_ ? agreement.inForce_->revision_ : 0;
  if (isHeadOnly && aAnswer.values_.front().revision_ > ourRevision) {
    ReadHead(aContext, true);
    return;
  }
  if (isHeadOnly && aAnswer.values_.front().revision_ == ourRevision) {
    SetStoreEvidence(aContext, sentAt);
    return;
  }
  AdoptStoreSnapshot(aContext, aAnswer, sentAt);
}

bool
AdoptStoreSnapshot(EventContext& aContext,
                   const StoreAnswer& aAnswer,
                   TimePoint aSentAt)
{
  const auto snapshot = DecodeSnapshot(aAnswer.values_);
  if (!snapshot || !*snapshot) {
    if (!snapshot) {
      aContext.Note("store record unreadable",
                    "the configuration in force stays as it was");
    }
    return false;
  }
  const Agreement& agreement = aContext.entry_.agreement_;
  const std::int64_t revision = (*snapshot)->revision_;
  if (agreement.inForce_ && revision < agreement.inForce_->revision_) {
    aContext.Note("stale read refused",
                  "the store answered with revision " +
                    std::to_string(revision) + ", older than revision " +
                    std::to_string(agreement.inForce_->revision_) +
                    " in force here");
    return false;
  }
  Adopt(aContext, *snapshot, "store");
  SetStoreEvidence(aContext, aSentAt);
  return true;
}

void
TickAgreement(EventContext& aContext)
{
  if (aContext.now_ >= aContext.entry_.agreement_.nextHeartbeat_) {
    SendHeartbeats(aContext);
  }
  UpdateFreshness(aContext);
  if (IsHeadReadDue(aContext.entry_, aContext.now_)) {
    ReadHead(aContext, !aContext.entry_.agreement_.inForce_);
  }
}

} // namespace cuminbridge::forwarder
