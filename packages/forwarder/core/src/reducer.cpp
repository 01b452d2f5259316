// The reducer: hands each event to the module it belongs to.

#include "agreement.h"
#include "claims.h"
#include "permits.h"
#include "proposal.h"
#include "routing.h"
#include "slots.h"
#include "waves.h"

namespace cuminbridge::forwarder {

namespace {

constexpr Duration kShutdownLimit = std::chrono::seconds(30);
constexpr Duration kLeaveLimit = std::chrono::seconds(3);

//-----------------------------------------------------------------------------
// [SECTION] Frames of peers
//-----------------------------------------------------------------------------

// Notes who sent a frame. False if it is from a process that has been replaced.
bool
NotePeer(Turn& aTurn, const PeerFrame& aFrame)
{
  Entry& entry = aTurn.entry_;
  if (aFrame.from_.empty() || aFrame.from_ == entry.options_.self_.id_) {
    return false;
  }
  PeerState& peer = entry.agreement_.peers_[aFrame.from_];
  if (aFrame.incarnation_ < peer.incarnation_) {
    ++entry.counts_["frames_dropped"];
    return false;
  }
  if (aFrame.incarnation_ > peer.incarnation_) {
    ForgetUse(entry, peer);
    peer = {};
    peer.id_ = aFrame.from_;
    peer.incarnation_ = aFrame.incarnation_;
  }
  peer.address_ = aFrame.address_;
  peer.dataCentre_ = aFrame.dataCentre_;
  peer.heardAt_ = aTurn.now_;
  return true;
}

void
OnAbort(Turn& aTurn, const Abort& aAbort)
{
  DropPending(aTurn.entry_, aAbort.operation_);
  DispatchAll(aTurn);
}

void
OnGoodbye(Turn& aTurn, const PeerFrame& aFrame)
{
  aTurn.entry_.agreement_.peers_.at(aFrame.from_).isLeaving_ = true;
}

// One overload for each message; the compiler asks for a missing one.
struct PeerVisitor
{
  Turn& turn_;
  const PeerFrame& frame_;

  void operator()(const Heartbeat& aBeat) { OnHeartbeat(turn_, frame_, aBeat); }
  void operator()(const HeartbeatAck& aAck)
  {
    OnHeartbeatAck(turn_, frame_, aAck);
  }
  void operator()(const Prepare& aPrepare)
  {
    OnPrepare(turn_, frame_, aPrepare);
  }
  void operator()(const PrepareAck& aAck) { OnPrepareAck(turn_, frame_, aAck); }
  void operator()(const Abort& aAbort) { OnAbort(turn_, aAbort); }
  void operator()(const ConfigRequest& aAsk)
  {
    OnConfigAsk(turn_, frame_, aAsk);
  }
  void operator()(const ConfigReply& aReply)
  {
    OnConfigReply(turn_, frame_, aReply);
  }
  void operator()(const ConfigAck& aAck) { OnConfigAck(turn_, frame_, aAck); }
  void operator()(const PermitRequest& aAsk)
  {
    OnPermitAsk(turn_, frame_, aAsk);
  }
  void operator()(const SlotRequest& aAsk) { OnSlotAsk(turn_, frame_, aAsk); }
  void operator()(const PermitTransfer& aGive)
  {
    OnPermitGive(turn_, frame_, aGive);
  }
  void operator()(const PermitReceipt& aReceipt)
  {
    OnPermitReceipt(turn_, frame_, aReceipt);
  }
  void operator()(const AuditRequest& aAsk) { OnAuditAsk(turn_, frame_, aAsk); }
  void operator()(const AuditReply& aReply)
  {
    OnAuditReply(turn_, frame_, aReply);
  }
  void operator()(const LedgerUpdate& aNote) { OnLedgerNote(turn_, aNote); }
  void operator()(const ClaimRequest& aAsk) { OnClaimAsk(turn_, frame_, aAsk); }
  void operator()(const ClaimReply& aReply)
  {
    OnClaimReply(turn_, frame_, aReply);
  }
  void operator()(const ClaimRelease& aRelease)
  {
    OnClaimRelease(turn_, frame_, aRelease);
  }
  void operator()(const ClaimSyncRequest& aAsk)
  {
    OnClaimSyncAsk(turn_, frame_, aAsk);
  }
  void operator()(const ClaimSyncReply& aReply)
  {
    OnClaimSyncReply(turn_, frame_, aReply);
  }
  void operator()(const WaveRequest& aAsk) { OnWaveAsk(turn_, frame_, aAsk); }
  void operator()(const WaveReply& aReply)
  {
    OnWaveReply(turn_, frame_, aReply);
  }
  void operator()(const Goodbye&) { OnGoodbye(turn_, frame_); }
};

void
OnPeerFrame(Turn& aTurn, const PeerFrame& aFrame)
{
  if (NotePeer(aTurn, aFrame)) {
    std::visit(PeerVisitor{ aTurn, aFrame }, aFrame.message_);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Store answers, ticks and shutdown
//-----------------------------------------------------------------------------

void
OnStoreAnswer(Turn& aTurn, const StoreAnswer& aAnswer)
{
  if (OnProposalAnswer(aTurn, aAnswer) || OnLedgerAnswer(aTurn, aAnswer) ||
      OnWaveAnswer(aTurn, aAnswer)) {
    return;
  }
  if (aAnswer.call_ == aTurn.entry_.agreement_.headCall_) {
    OnHeadAnswer(aTurn, aAnswer);
  }
}

void
OnShutdownAsked(Turn& aTurn)
{
  Shutdown& shutdown = aTurn.entry_.shutdown_;
  if (!shutdown.isAsked_) {
    shutdown.isAsked_ = true;
    shutdown.askedAt_ = aTurn.now_;
    aTurn.Note("shutdown", "not ready; waiting for the balancer to see it");
  }
}

// Permits that lie idle go to the steward, so that the account loses none.
void
HandOver(Turn& aTurn)
{
  SendToMembers(aTurn, Goodbye{});
  GiveAllIdle(aTurn);
}

void
TickShutdown(Turn& aTurn)
{
  Entry& entry = aTurn.entry_;
  Shutdown& shutdown = entry.shutdown_;
  if (!shutdown.isAsked_ || shutdown.isExited_) {
    return;
  }
  const Duration since = aTurn.now_ - shutdown.askedAt_;
  if (shutdown.isAccepting_ && since >= entry.options_.drainGrace_) {
    shutdown.isAccepting_ = false;
    aTurn.Emit(StopAccepting{});
  }
  const bool isIdle =
    !shutdown.isAccepting_ && entry.routing_.requests_.empty();
  if (isIdle && !shutdown.isIdle_) {
    shutdown.isIdle_ = true;
    shutdown.idleAt_ = aTurn.now_;
    HandOver(aTurn);
  }
  const bool isLeft = isIdle && (entry.proposals_.isLeft_ ||
                                 aTurn.now_ - shutdown.idleAt_ >= kLeaveLimit);
  if (isLeft || since >= kShutdownLimit) {
    shutdown.isExited_ = true;
    aTurn.Emit(ExitProcess{});
  }
}

void
OnTick(Turn& aTurn)
{
  TickAgreement(aTurn);
  TickProposals(aTurn);
  TickPermits(aTurn);
  TickClaims(aTurn);
  TickWaves(aTurn);
  TickRouting(aTurn);
  TickShutdown(aTurn);
}

struct EventVisitor
{
  Turn& turn_;

  void operator()(const Tick&) { OnTick(turn_); }
  void operator()(const RequestArrived& aEvent)
  {
    OnRequestArrived(turn_, aEvent);
  }
  void operator()(const RequestCancelled& aEvent)
  {
    OnRequestCancelled(turn_, aEvent);
  }
  void operator()(const ExchangeEnded& aEvent)
  {
    OnExchangeEnded(turn_, aEvent);
  }
  void operator()(const PeerFrame& aEvent) { OnPeerFrame(turn_, aEvent); }
  void operator()(const StoreAnswer& aEvent) { OnStoreAnswer(turn_, aEvent); }
  void operator()(const TicketFiled& aEvent) { OnTicketFiled(turn_, aEvent); }
  void operator()(const VmListRead& aEvent) { OnVmListRead(turn_, aEvent); }
  void operator()(const ShutdownAsked&) { OnShutdownAsked(turn_); }
};

} // namespace

void
EntryDeleter::operator()(Entry* aEntry) const
{
  delete aEntry;
}

EntryPtr
MakeEntry(const EntryOptions& aOptions, TimePoint aNow)
{
  EntryPtr entry(new Entry());
  entry->options_ = aOptions;
  entry->startedAt_ = aNow;
  entry->routing_.random_.seed(aOptions.randomSeed_);
  entry->agreement_.storeEvidenceAt_ = TimePoint::min();
  return entry;
}

void
Reduce(Entry& aEntry, const Event& aEvent, TimePoint aNow, Effects& aEffects)
{
  Turn turn{ aEntry, aNow, aEffects };
  std::visit(EventVisitor{ turn }, aEvent);
}

} // namespace cuminbridge::forwarder
