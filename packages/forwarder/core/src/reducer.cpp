// The reducer: dispatches each event to its module.

#include "agreement.h"
#include "claims.h"
#include "permits.h"
#include "proposal.h"
#include "routing.h"
#include "slots.h"
#include "waves.h"

namespace cuminbridge::forwarder {

namespace {

// The process exits this long after the shutdown request, whatever still runs.
constexpr Duration kShutdownLimit = std::chrono::seconds(30);
// Longest wait, once idle, for this entry's removal from the members.
constexpr Duration kLeaveLimit = std::chrono::seconds(3);

//-----------------------------------------------------------------------------
// [SECTION] Frames of peers
//-----------------------------------------------------------------------------

// Records the sender of a frame. False if the frame must be dropped: it has no
// sender, comes from this entry's own id, or from an older incarnation.
bool
RecordPeer(EventContext& aContext, const PeerFrame& aFrame)
{
  Entry& entry = aContext.entry_;
  if (aFrame.from_.empty() || aFrame.from_ == entry.options_.self_.id_) {
    return false;
  }
  PeerState& peer = entry.agreement_.peers_[aFrame.from_];
  if (aFrame.incarnation_ < peer.incarnation_) {
    ++entry.counts_["frames_dropped"];
    return false;
  }
  if (aFrame.incarnation_ > peer.incarnation_) {
    ForgetPeerAccountUse(entry, peer);
    peer = {};
    peer.id_ = aFrame.from_;
    peer.incarnation_ = aFrame.incarnation_;
  }
  peer.address_ = aFrame.address_;
  peer.dataCentre_ = aFrame.dataCentre_;
  peer.lastHeardAt_ = aContext.now_;
  return true;
}

void
OnAbort(EventContext& aContext, const Abort& aAbort)
{
  DropPending(aContext.entry_, aAbort.operation_);
  DispatchAll(aContext);
}

void
OnGoodbye(EventContext& aContext, const PeerFrame& aFrame)
{
  aContext.entry_.agreement_.peers_.at(aFrame.from_).isLeaving_ = true;
}

// One overload per message; a missing one does not compile.
struct PeerVisitor
{
  EventContext& context_;
  const PeerFrame& frame_;

  void operator()(const Heartbeat& aBeat)
  {
    OnHeartbeat(context_, frame_, aBeat);
  }
  void operator()(const HeartbeatAck& aAck)
  {
    OnHeartbeatAck(context_, frame_, aAck);
  }
  void operator()(const Prepare& aPrepare)
  {
    OnPrepare(context_, frame_, aPrepare);
  }
  void operator()(const PrepareAck& aAck)
  {
    OnPrepareAck(context_, frame_, aAck);
  }
  void operator()(const Abort& aAbort) { OnAbort(context_, aAbort); }
  void operator()(const ConfigRequest& aRequest)
  {
    OnConfigRequest(context_, frame_, aRequest);
  }
  void operator()(const ConfigReply& aReply)
  {
    OnConfigReply(context_, frame_, aReply);
  }
  void operator()(const ConfigAck& aAck)
  {
    OnConfigAck(context_, frame_, aAck);
  }
  void operator()(const PermitRequest& aRequest)
  {
    OnPermitRequest(context_, frame_, aRequest);
  }
  void operator()(const SlotRequest& aRequest)
  {
    OnSlotRequest(context_, frame_, aRequest);
  }
  void operator()(const PermitTransfer& aTransfer)
  {
    OnPermitTransfer(context_, frame_, aTransfer);
  }
  void operator()(const PermitReceipt& aReceipt)
  {
    OnPermitReceipt(context_, frame_, aReceipt);
  }
  void operator()(const AuditRequest& aRequest)
  {
    OnAuditRequest(context_, frame_, aRequest);
  }
  void operator()(const AuditReply& aReply)
  {
    OnAuditReply(context_, frame_, aReply);
  }
  void operator()(const LedgerUpdate& aUpdate)
  {
    OnLedgerUpdate(context_, aUpdate);
  }
  void operator()(const ClaimRequest& aRequest)
  {
    OnClaimRequest(context_, frame_, aRequest);
  }
  void operator()(const ClaimReply& aReply)
  {
    OnClaimReply(context_, frame_, aReply);
  }
  void operator()(const ClaimRelease& aRelease)
  {
    OnClaimRelease(context_, frame_, aRelease);
  }
  void operator()(const ClaimSyncRequest& aRequest)
  {
    OnClaimSyncRequest(context_, frame_, aRequest);
  }
  void operator()(const ClaimSyncReply& aReply)
  {
    OnClaimSyncReply(context_, frame_, aReply);
  }
  void operator()(const WaveRequest& aRequest)
  {
    OnWaveRequest(context_, frame_, aRequest);
  }
  void operator()(const WaveReply& aReply)
  {
    OnWaveReply(context_, frame_, aReply);
  }
  void operator()(const Goodbye&) { OnGoodbye(context_, frame_); }
};

void
OnPeerFrame(EventContext& aContext, const PeerFrame& aFrame)
{
  if (RecordPeer(aContext, aFrame)) {
    std::visit(PeerVisitor{ aContext, aFrame }, aFrame.message_);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Store answers, ticks and shutdown
//-----------------------------------------------------------------------------

void
OnStoreAnswer(EventContext& aContext, const StoreAnswer& aAnswer)
{
  if (OnProposalAnswer(aContext, aAnswer) ||
      OnLedgerAnswer(aContext, aAnswer) || OnWaveAnswer(aContext, aAnswer)) {
    return;
  }
  if (aAnswer.call_ == aContext.entry_.agreement_.headCall_) {
    OnHeadAnswer(aContext, aAnswer);
  }
}

void
OnShutdownRequested(EventContext& aContext)
{
  Shutdown& shutdown = aContext.entry_.shutdown_;
  if (!shutdown.isRequested_) {
    shutdown.isRequested_ = true;
    shutdown.requestedAt_ = aContext.now_;
    aContext.Note("shutdown",
                  "reporting unready; still accepting until the load balancer "
                  "has noticed");
  }
}

// Tells the members that this entry leaves, and hands its idle permits to the
// coordinator, so that no account loses any.
void
AnnounceDeparture(EventContext& aContext)
{
  SendToMembers(aContext, Goodbye{});
  GiveAllIdlePermits(aContext);
}

void
TickShutdown(EventContext& aContext)
{
  Entry& entry = aContext.entry_;
  Shutdown& shutdown = entry.shutdown_;
  if (!shutdown.isRequested_ || shutdown.isExited_) {
    return;
  }
  const Duration since = aContext.now_ - shutdown.requestedAt_;
  if (shutdown.isAccepting_ && since >= entry.options_.drainGrace_) {
    shutdown.isAccepting_ = false;
    aContext.Emit(StopAccepting{});
  }
  const bool isIdle =
    !shutdown.isAccepting_ && entry.routing_.requests_.empty();
  if (isIdle && !shutdown.isIdle_) {
    shutdown.isIdle_ = true;
    shutdown.idleAt_ = aContext.now_;
    AnnounceDeparture(aContext);
  }
  const bool hasLeft =
    isIdle && (entry.proposals_.hasLeft_ ||
               aContext.now_ - shutdown.idleAt_ >= kLeaveLimit);
  if (hasLeft || since >= kShutdownLimit) {
    shutdown.isExited_ = true;
    aContext.Emit(ExitProcess{});
  }
}

void
OnTick(EventContext& aContext)
{
  TickAgreement(aContext);
  TickProposals(aContext);
  TickPermits(aContext);
  TickClaims(aContext);
  TickWaves(aContext);
  TickRouting(aContext);
  TickShutdown(aContext);
}

struct EventVisitor
{
  EventContext& context_;

  void operator()(const Tick&) { OnTick(context_); }
  void operator()(const RequestArrived& aEvent)
  {
    OnRequestArrived(context_, aEvent);
  }
  void operator()(const RequestCancelled& aEvent)
  {
    OnRequestCancelled(context_, aEvent);
  }
  void operator()(const ExchangeEnded& aEvent)
  {
    OnExchangeEnded(context_, aEvent);
  }
  void operator()(const PeerFrame& aEvent) { OnPeerFrame(context_, aEvent); }
  void operator()(const StoreAnswer& aEvent)
  {
    OnStoreAnswer(context_, aEvent);
  }
  void operator()(const TicketFiled& aEvent)
  {
    OnTicketFiled(context_, aEvent);
  }
  void operator()(const VmListRead& aEvent) { OnVmListRead(context_, aEvent); }
  void operator()(const ShutdownRequested&) { OnShutdownRequested(context_); }
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
  EventContext context{ aEntry, aNow, aEffects };
  std::visit(EventVisitor{ context }, aEvent);
}

} // namespace cuminbridge::forwarder
