// Votes on Idempotency-Keys, and learning earlier ones.

#include "claims.h"

#include <algorithm>

#include "agreement.h"
#include "permits.h"
#include "routing.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kClaimLimit = std::chrono::seconds(1);
constexpr Duration kClaimResend = std::chrono::milliseconds(200);
constexpr Duration kSyncInterval = std::chrono::milliseconds(200);

std::string
NameClaim(const Request& aRequest)
{
  return aRequest.account_ + "\n" + aRequest.arrived_.idempotencyKey_;
}

std::size_t
CountVoters(const Entry& aEntry)
{
  const auto& members = aEntry.agreement_.inForce_->members_;
  return static_cast<std::size_t>(
    std::count_if(members.begin(), members.end(), [](const Member& aMember) {
      return aMember.isVoter_;
    }));
}

std::string
NameHolder(const std::string& aProcess, std::uint64_t aRequest)
{
  return aProcess + "#" + std::to_string(aRequest);
}

std::string
NameSelf(const Entry& aEntry)
{
  const Member& self = aEntry.options_.self_;
  return NameProcess(self.id_, self.incarnation_);
}

void
Record(Turn& aTurn, const std::string& aKey, const std::string& aHolder)
{
  Claims& claims = aTurn.entry_.claims_;
  const auto [record, isNew] =
    claims.records_.emplace(aKey, ClaimRecord{ aHolder, aTurn.now_ });
  if (isNew) {
    claims.byAge_.emplace_back(aTurn.now_, aKey);
  }
}

// This entry's vote: granted if nobody else holds the claim.
bool
Vote(Turn& aTurn, const std::string& aKey, const std::string& aHolder)
{
  Record(aTurn, aKey, aHolder);
  return aTurn.entry_.claims_.records_.at(aKey).holder_ == aHolder;
}

void
Unrecord(Entry& aEntry, const std::string& aKey, const std::string& aHolder)
{
  const auto record = aEntry.claims_.records_.find(aKey);
  if (record != aEntry.claims_.records_.end() &&
      record->second.holder_ == aHolder) {
    aEntry.claims_.records_.erase(record);
  }
}

void
SendClaimAsk(Turn& aTurn, const std::string& aKey, ClaimVotes& aVotes)
{
  const Entry& entry = aTurn.entry_;
  aVotes.resendAt_ = aTurn.now_ + kClaimResend;
  if (IsVoter(entry) && entry.claims_.isSynced_) {
    const bool isGranted =
      Vote(aTurn, aKey, NameHolder(NameSelf(entry), aVotes.request_));
    auto& side = isGranted ? aVotes.granted_ : aVotes.refused_;
    side.insert(entry.options_.self_.id_);
  }
  SendToMembers(aTurn,
                ClaimRequest{ entry.permits_.epoch_, aKey, aVotes.request_ });
}

// Takes the votes back and tells routing.
void
EndVotes(Turn& aTurn, const std::string& aKey, bool aIsHeld)
{
  auto& votes = aTurn.entry_.claims_.votes_;
  const RequestId request = votes.at(aKey).request_;
  votes.erase(aKey);
  Unrecord(aTurn.entry_, aKey, NameHolder(NameSelf(aTurn.entry_), request));
  SendToMembers(aTurn, ClaimRelease{ aKey, request });
  OnClaimRefused(aTurn, request, aIsHeld);
}

void
CheckVotes(Turn& aTurn, const std::string& aKey)
{
  Entry& entry = aTurn.entry_;
  const auto found = entry.claims_.votes_.find(aKey);
  if (found == entry.claims_.votes_.end() || !entry.agreement_.inForce_) {
    return;
  }
  const ClaimVotes& votes = found->second;
  const std::size_t voters = CountVoters(entry);
  const std::size_t majority = MajorityOf(voters);
  if (votes.granted_.size() >= majority) {
    const RequestId request = votes.request_;
    entry.claims_.votes_.erase(found);
    OnClaimGranted(aTurn, request);
  } else if (voters > 0 && votes.refused_.size() > voters - majority) {
    EndVotes(aTurn, aKey, true);
  }
}

// How many other voters must tell what they hold before this entry knows of
// every claim: each claim is with a majority of the voters, less those that
// have gone since, and one of these must be among the tellers.
std::size_t
SyncsNeeded(const Entry& aEntry)
{
  const std::size_t voters = CountVoters(aEntry);
  const bool isAlone = voters == 1 && IsVoter(aEntry);
  return isAlone ? 0 : voters - MajorityOf(voters) + 1;
}

void
CheckSynced(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  Claims& claims = entry.claims_;
  // Claims older than their lifetime count no more. That also ends the wait if
  // all voters were lost.
  const bool isOld =
    aTurn.now_ - entry.startedAt_ >= entry.options_.claimLifetime_;
  const bool isTold =
    CountVoters(entry) > 0 && claims.syncedFrom_.size() >= SyncsNeeded(entry);
  if (isOld || isTold) {
    claims.isSynced_ = true;
    claims.syncedFrom_.clear();
  }
}

void
RestartVotes(Turn& aTurn)
{
  for (auto& [key, votes] : aTurn.entry_.claims_.votes_) {
    votes.granted_.clear();
    votes.refused_.clear();
  }
}

bool
IsFromVoter(const Entry& aEntry, const PeerFrame& aFrame)
{
  const Member* member = FindMember(aEntry, aFrame.from_, aFrame.incarnation_);
  return member != nullptr && member->isVoter_;
}

void
ForgetOld(Turn& aTurn)
{
  Claims& claims = aTurn.entry_.claims_;
  const Duration lifetime = aTurn.entry_.options_.claimLifetime_;
  while (!claims.byAge_.empty() &&
         aTurn.now_ - claims.byAge_.front().first >= lifetime) {
    const auto record = claims.records_.find(claims.byAge_.front().second);
    if (record != claims.records_.end() &&
        record->second.since_ == claims.byAge_.front().first) {
      claims.records_.erase(record);
    }
    claims.byAge_.pop_front();
  }
}

} // namespace

bool
IsVoter(const Entry& aEntry)
{
  const Member& self = aEntry.options_.self_;
  const Member* member = FindMember(aEntry, self.id_, self.incarnation_);
  return member != nullptr && member->isVoter_;
}

void
StartClaim(Turn& aTurn, const Request& aRequest)
{
  Entry& entry = aTurn.entry_;
  const std::string key = NameClaim(aRequest);
  const RequestId id = aRequest.arrived_.id_;
  if (entry.permits_.epoch_ == 0 || CountVoters(entry) == 0) {
    OnClaimRefused(aTurn, id, false);
    return;
  }
  if (entry.claims_.votes_.contains(key)) {
    OnClaimRefused(aTurn, id, true); // another request here is asking for it
    return;
  }
  ClaimVotes& votes = entry.claims_.votes_[key];
  votes = {};
  votes.request_ = id;
  votes.since_ = aTurn.now_;
  SendClaimAsk(aTurn, key, votes);
  CheckVotes(aTurn, key);
}

void
ReleaseClaim(Turn& aTurn, const Request& aRequest)
{
  const std::string key = NameClaim(aRequest);
  const RequestId id = aRequest.arrived_.id_;
  auto& votes = aTurn.entry_.claims_.votes_;
  const auto found = votes.find(key);
  if (found != votes.end() && found->second.request_ == id) {
    votes.erase(found);
  }
  Unrecord(aTurn.entry_, key, NameHolder(NameSelf(aTurn.entry_), id));
  SendToMembers(aTurn, ClaimRelease{ key, id });
}

void
OnClaimAsk(Turn& aTurn, const PeerFrame& aFrame, const ClaimRequest& aAsk)
{
  Entry& entry = aTurn.entry_;
  const bool isSameEpoch =
    entry.permits_.epoch_ != 0 && entry.permits_.epoch_ == aAsk.epoch_;
  if (!isSameEpoch || !entry.claims_.isSynced_ || !IsVoter(entry)) {
    return; // no vote; the asker asks again
  }
  const std::string holder =
    NameHolder(NameProcess(aFrame.from_, aFrame.incarnation_), aAsk.request_);
  const bool isGranted = Vote(aTurn, aAsk.key_, holder);
  SendToPeer(
    aTurn,
    aFrame.from_,
    ClaimReply{ aAsk.epoch_, aAsk.key_, aAsk.request_, isGranted, !isGranted });
}

void
OnClaimReply(Turn& aTurn, const PeerFrame& aFrame, const ClaimReply& aReply)
{
  Entry& entry = aTurn.entry_;
  const auto found = entry.claims_.votes_.find(aReply.key_);
  if (found == entry.claims_.votes_.end() ||
      found->second.request_ != aReply.request_ ||
      aReply.epoch_ != entry.permits_.epoch_ || !IsFromVoter(entry, aFrame)) {
    return;
  }
  auto& side =
    aReply.granted_ ? found->second.granted_ : found->second.refused_;
  side.insert(aFrame.from_);
  CheckVotes(aTurn, aReply.key_);
}

void
OnClaimRelease(Turn& aTurn,
               const PeerFrame& aFrame,
               const ClaimRelease& aRelease)
{
  Unrecord(aTurn.entry_,
           aRelease.key_,
           NameHolder(NameProcess(aFrame.from_, aFrame.incarnation_),
                      aRelease.request_));
}

void
OnClaimSyncAsk(Turn& aTurn,
               const PeerFrame& aFrame,
               const ClaimSyncRequest& aAsk)
{
  const Entry& entry = aTurn.entry_;
  if (entry.permits_.epoch_ == 0 || aAsk.epoch_ != entry.permits_.epoch_) {
    return;
  }
  ClaimSyncReply reply;
  reply.epoch_ = aAsk.epoch_;
  for (const auto& [key, record] : entry.claims_.records_) {
    reply.claims_.emplace_back(key, record.holder_);
  }
  SendToPeer(aTurn, aFrame.from_, std::move(reply));
}

void
OnClaimSyncReply(Turn& aTurn,
                 const PeerFrame& aFrame,
                 const ClaimSyncReply& aReply)
{
  Claims& claims = aTurn.entry_.claims_;
  if (claims.isSynced_ || aReply.epoch_ != aTurn.entry_.permits_.epoch_) {
    return;
  }
  for (const auto& [key, holder] : aReply.claims_) {
    Record(aTurn, key, holder);
  }
  if (IsFromVoter(aTurn.entry_, aFrame)) {
    claims.syncedFrom_.insert(aFrame.from_);
  }
  CheckSynced(aTurn);
}

void
OnClaimsEpoch(Turn& aTurn)
{
  Claims& claims = aTurn.entry_.claims_;
  claims.isSynced_ = false;
  claims.syncedFrom_.clear();
  claims.nextSync_ = aTurn.now_;
  RestartVotes(aTurn);
  CheckSynced(aTurn);
}

void
TickClaims(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  Claims& claims = entry.claims_;
  ForgetOld(aTurn);
  if (entry.permits_.epoch_ == 0) {
    return;
  }
  if (!claims.isSynced_ && aTurn.now_ >= claims.nextSync_) {
    claims.nextSync_ = aTurn.now_ + kSyncInterval;
    CheckSynced(aTurn);
    SendToMembers(aTurn, ClaimSyncRequest{ entry.permits_.epoch_ });
  }
  std::vector<std::string> late;
  for (auto& [key, votes] : claims.votes_) {
    if (aTurn.now_ - votes.since_ >= kClaimLimit) {
      late.push_back(key);
    } else if (aTurn.now_ >= votes.resendAt_) {
      SendClaimAsk(aTurn, key, votes);
    }
  }
  for (const std::string& key : late) {
    EndVotes(aTurn, key, !claims.votes_.at(key).refused_.empty());
  }
}

} // namespace cuminbridge::forwarder
