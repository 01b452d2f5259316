// Voting on Idempotency-Keys, and learning the claims granted earlier.

#include "claims.h"

#include <algorithm>

#include "agreement.h"
#include "permits.h"
#include "routing.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kVoteTimeout = std::chrono::seconds(1); // then abandoned
constexpr Duration kClaimResend = std::chrono::milliseconds(200);
constexpr Duration kSyncInterval = std::chrono::milliseconds(200);

// "account\nkey": keys of different accounts are independent.
std::string
FormatClaimKey(const Request& aRequest)
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

// "member#incarnation#request".
std::string
FormatHolder(const std::string& aProcess, std::uint64_t aRequest)
{
  return aProcess + "#" + std::to_string(aRequest);
}

std::string
FormatOwnProcessId(const Entry& aEntry)
{
  const Member& self = aEntry.options_.self_;
  return FormatProcessId(self.id_, self.incarnation_);
}

// Records the holder of a key, unless the key has one already.
void
RecordClaim(EventContext& aContext,
            const std::string& aKey,
            const std::string& aHolder)
{
  Claims& claims = aContext.entry_.claims_;
  const auto [record, isNew] =
    claims.records_.emplace(aKey, ClaimRecord{ aHolder, aContext.now_ });
  if (isNew) {
    claims.byAge_.emplace_back(aContext.now_, aKey);
  }
}

// This entry's vote: true (granted) unless another request holds the key.
bool
CastVote(EventContext& aContext,
         const std::string& aKey,
         const std::string& aHolder)
{
  RecordClaim(aContext, aKey, aHolder);
  return aContext.entry_.claims_.records_.at(aKey).holder_ == aHolder;
}

// Erases the record of a key if it names this holder.
void
EraseClaim(Entry& aEntry, const std::string& aKey, const std::string& aHolder)
{
  const auto record = aEntry.claims_.records_.find(aKey);
  if (record != aEntry.claims_.records_.end() &&
      record->second.holder_ == aHolder) {
    aEntry.claims_.records_.erase(record);
  }
}

void
SendClaimRequest(EventContext& aContext,
                 const std::string& aKey,
                 ClaimVotes& aVotes)
{
  const Entry& entry = aContext.entry_;
  aVotes.resendAt_ = aContext.now_ + kClaimResend;
  if (IsVoter(entry) && entry.claims_.isSynced_) {
    const bool isGranted = CastVote(
      aContext, aKey, FormatHolder(FormatOwnProcessId(entry), aVotes.request_));
    auto& side = isGranted ? aVotes.granted_ : aVotes.refused_;
    side.insert(entry.options_.self_.id_);
  }
  SendToMembers(aContext,
                ClaimRequest{ entry.permits_.epoch_, aKey, aVotes.request_ });
}

// Releases the votes that were granted and refuses the request.
void
AbandonClaim(EventContext& aContext, const std::string& aKey, bool aIsHeld)
{
  auto& votes = aContext.entry_.claims_.votes_;
  const RequestId request = votes.at(aKey).request_;
  votes.erase(aKey);
  EraseClaim(aContext.entry_,
             aKey,
             FormatHolder(FormatOwnProcessId(aContext.entry_), request));
  SendToMembers(aContext, ClaimRelease{ aKey, request });
  OnClaimRefused(aContext, request, aIsHeld);
}

void
EvaluateVotes(EventContext& aContext, const std::string& aKey)
{
  Entry& entry = aContext.entry_;
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
    OnClaimGranted(aContext, request);
  } else if (voters > 0 && votes.refused_.size() > voters - majority) {
    AbandonClaim(aContext, aKey, true);
  }
}

// How many other voters must report their claims before this entry knows every
// claim. Each claim is recorded at a majority of the voters, less those that
// have left since; at least one of the rest must be among the reporters.
std::size_t
CountSyncsNeeded(const Entry& aEntry)
{
  const std::size_t voters = CountVoters(aEntry);
  const bool isAlone = voters == 1 && IsVoter(aEntry);
  return isAlone ? 0 : voters - MajorityOf(voters) + 1;
}

void
UpdateSynced(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  Claims& claims = entry.claims_;
  // Claims older than their lifetime no longer count, so an entry that has run
  // for so long needs no reports. This also ends the wait if all voters were
  // lost.
  const bool isPastLifetime =
    aContext.now_ - entry.startedAt_ >= entry.options_.claimLifetime_;
  const bool hasEnoughReports =
    CountVoters(entry) > 0 &&
    claims.syncedFrom_.size() >= CountSyncsNeeded(entry);
  if (isPastLifetime || hasEnoughReports) {
    claims.isSynced_ = true;
    claims.syncedFrom_.clear();
  }
}

void
ClearVotes(EventContext& aContext)
{
  for (auto& [key, votes] : aContext.entry_.claims_.votes_) {
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
ForgetExpiredClaims(EventContext& aContext)
{
  Claims& claims = aContext.entry_.claims_;
  const Duration lifetime = aContext.entry_.options_.claimLifetime_;
  while (!claims.byAge_.empty() &&
         aContext.now_ - claims.byAge_.front().first >= lifetime) {
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
StartClaim(EventContext& aContext, const Request& aRequest)
{
  Entry& entry = aContext.entry_;
  const std::string key = FormatClaimKey(aRequest);
  const RequestId id = aRequest.arrived_.id_;
  if (entry.permits_.epoch_ == 0 || CountVoters(entry) == 0) {
    OnClaimRefused(aContext, id, false);
    return;
  }
  if (entry.claims_.votes_.contains(key)) {
    OnClaimRefused(aContext, id, true); // another request here claims this key
    return;
  }
  ClaimVotes& votes = entry.claims_.votes_[key];
  votes = {};
  votes.request_ = id;
  votes.since_ = aContext.now_;
  SendClaimRequest(aContext, key, votes);
  EvaluateVotes(aContext, key);
}

void
ReleaseClaim(EventContext& aContext, const Request& aRequest)
{
  const std::string key = FormatClaimKey(aRequest);
  const RequestId id = aRequest.arrived_.id_;
  auto& votes = aContext.entry_.claims_.votes_;
  const auto found = votes.find(key);
  if (found != votes.end() && found->second.request_ == id) {
    votes.erase(found);
  }
  EraseClaim(aContext.entry_,
             key,
             FormatHolder(FormatOwnProcessId(aContext.entry_), id));
  SendToMembers(aContext, ClaimRelease{ key, id });
}

void
OnClaimRequest(EventContext& aContext,
               const PeerFrame& aFrame,
               const ClaimRequest& aRequest)
{
  Entry& entry = aContext.entry_;
  const bool isSameEpoch =
    entry.permits_.epoch_ != 0 && entry.permits_.epoch_ == aRequest.epoch_;
  if (!isSameEpoch || !entry.claims_.isSynced_ || !IsVoter(entry)) {
    return; // no vote; the claimant resends its ask
  }
  const std::string holder = FormatHolder(
    FormatProcessId(aFrame.from_, aFrame.incarnation_), aRequest.request_);
  const bool isGranted = CastVote(aContext, aRequest.key_, holder);
  SendToPeer(aContext,
             aFrame.from_,
             ClaimReply{ aRequest.epoch_,
                         aRequest.key_,
                         aRequest.request_,
                         isGranted,
                         !isGranted });
}

void
OnClaimReply(EventContext& aContext,
             const PeerFrame& aFrame,
             const ClaimReply& aReply)
{
  Entry& entry = aContext.entry_;
  const auto found = entry.claims_.votes_.find(aReply.key_);
  if (found == entry.claims_.votes_.end() ||
      found->second.request_ != aReply.request_ ||
      aReply.epoch_ != entry.permits_.epoch_ || !IsFromVoter(entry, aFrame)) {
    return;
  }
  auto& side =
    aReply.granted_ ? found->second.granted_ : found->second.refused_;
  side.insert(aFrame.from_);
  EvaluateVotes(aContext, aReply.key_);
}

void
OnClaimRelease(EventContext& aContext,
               const PeerFrame& aFrame,
               const ClaimRelease& aRelease)
{
  EraseClaim(aContext.entry_,
             aRelease.key_,
             FormatHolder(FormatProcessId(aFrame.from_, aFrame.incarnation_),
                          aRelease.request_));
}

void
OnClaimSyncRequest(EventContext& aContext,
                   const PeerFrame& aFrame,
                   const ClaimSyncRequest& aRequest)
{
  const Entry& entry = aContext.entry_;
  if (entry.permits_.epoch_ == 0 || aRequest.epoch_ != entry.permits_.epoch_) {
    return;
  }
  ClaimSyncReply reply;
  reply.epoch_ = aRequest.epoch_;
  for (const auto& [key, record] : entry.claims_.records_) {
    reply.claims_.emplace_back(key, record.holder_);
  }
  SendToPeer(aContext, aFrame.from_, std::move(reply));
}

void
OnClaimSyncReply(EventContext& aContext,
                 const PeerFrame& aFrame,
                 const ClaimSyncReply& aReply)
{
  Claims& claims = aContext.entry_.claims_;
  if (claims.isSynced_ || aReply.epoch_ != aContext.entry_.permits_.epoch_) {
    return;
  }
  for (const auto& [key, holder] : aReply.claims_) {
    RecordClaim(aContext, key, holder);
  }
  if (IsFromVoter(aContext.entry_, aFrame)) {
    claims.syncedFrom_.insert(aFrame.from_);
  }
  UpdateSynced(aContext);
}

void
OnClaimEpochChanged(EventContext& aContext)
{
  Claims& claims = aContext.entry_.claims_;
  claims.isSynced_ = false;
  claims.syncedFrom_.clear();
  claims.nextSync_ = aContext.now_;
  ClearVotes(aContext);
  UpdateSynced(aContext);
}

void
TickClaims(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  Claims& claims = entry.claims_;
  ForgetExpiredClaims(aContext);
  if (entry.permits_.epoch_ == 0) {
    return;
  }
  if (!claims.isSynced_ && aContext.now_ >= claims.nextSync_) {
    claims.nextSync_ = aContext.now_ + kSyncInterval;
    UpdateSynced(aContext);
    SendToMembers(aContext, ClaimSyncRequest{ entry.permits_.epoch_ });
  }
  std::vector<std::string> timedOut;
  for (auto& [key, votes] : claims.votes_) {
    if (aContext.now_ - votes.since_ >= kVoteTimeout) {
      timedOut.push_back(key);
    } else if (aContext.now_ >= votes.resendAt_) {
      SendClaimRequest(aContext, key, votes);
    }
  }
  for (const std::string& key : timedOut) {
    AbandonClaim(aContext, key, !claims.votes_.at(key).refused_.empty());
  }
}

} // namespace cuminbridge::forwarder
