// Admission control of one entry.

#include "admission_control.h"

#include <algorithm>

#include "daemon_log.h"

namespace cuminbridge {

namespace {

// An owner answers its peers within a few milliseconds. Without an answer the
// job is admitted.
constexpr Millis kAskTimeout(150);
// A returning caller was first refused this long ago at most.
constexpr Millis kLongestWait(60000);
constexpr int kMaxTries = 3; // of a write that competes with other attempts

// Two jobs of a pool return at least as far apart as the pool takes for one.
Millis
ReturnSpacing(const PoolBacklog& aBacklog)
{
  constexpr double kThousandths = 1000;
  constexpr Millis kLeast(10);
  if (aBacklog.usableCpu_ <= 0 || aBacklog.waitingItems_ <= 0) {
    return kLeast;
  }
  const auto cores = static_cast<double>(aBacklog.usableCpu_) / kThousandths;
  const auto perItem =
    aBacklog.waitingWork_ / static_cast<double>(aBacklog.waitingItems_);
  return std::max(kLeast, Millis(static_cast<std::int64_t>(perItem / cores)));
}

bool
ShowsKey(const StoreReply& aReply, const std::string& aKey)
{
  return std::any_of(
    aReply.items_.begin(), aReply.items_.end(), [&](const StoreItem& aItem) {
      return aItem.key_ == aKey && aItem.revision_ != 0;
    });
}

} // namespace

AdmissionControl::AdmissionControl(DaemonContext aContext, Refusals& aRefusals)
  : context_(aContext)
  , refusals_(aRefusals)
{
}

void
AdmissionControl::NoteAnswer(int aCell,
                             const std::string& aBody,
                             Instant aAskedAt)
{
  auto report = DecodeBacklogReport(aBody);
  if (report) {
    backlogs_.Note(aCell, std::move(*report), aAskedAt);
  } else {
    backlogs_.NoteNone(aCell);
  }
}

Awaitable<std::optional<Backlogs::Known>>
AdmissionControl::FindBacklog(const SubmissionAttempt& aAttempt)
{
  const auto now = context_.clocks_.Now();
  const auto cell = aAttempt.cell_;
  const std::string pool = aAttempt.job_.pool_;
  if (aAttempt.owner_ && aAttempt.owner_->IsLeaseValid()) {
    backlogs_.Note(
      cell, aAttempt.owner_->ShortBacklogs(), now - kBacklogInterval);
  } else if (backlogs_.TakeQuestion(cell, pool, now)) {
    const auto body =
      co_await context_.peers_.Ask(cell, kBacklogPath, kAskTimeout);
    if (body) {
      NoteAnswer(cell, *body, now);
    }
  }
  co_return backlogs_.Find(cell, pool, context_.clocks_.Now());
}

// A lease is used for new records until half of its time is over, so that each
// record lives for kRefusalTime or longer.
Awaitable<std::int64_t>
AdmissionControl::LeaseForRecords()
{
  const auto now = context_.clocks_.Now();
  if (lease_ == 0 || now >= leaseUsableUntil_) {
    const auto reply = co_await context_.store_.CreateLease(2 * kRefusalTime);
    lease_ = reply.IsDone() ? reply.revision_ : 0;
    leaseUsableUntil_ = now + kRefusalTime;
  }
  co_return lease_;
}

void
AdmissionControl::LogDecision(const char* aEvent,
                              const SubmissionAttempt& aAttempt,
                              const Backlogs::Known& aKnown,
                              const AdmissionDecision& aDecision,
                              const AdmissionTimes& aTimes,
                              const std::string& aResult)
{
  const auto& backlog = aKnown.backlog_;
  const auto& forecast = *aDecision.forecast_;
  const auto ms = [](Millis aTime) {
    return std::to_string(aTime.count()) + " ms";
  };
  WriteLine(
    { aEvent,
      aAttempt.job_.id_,
      "",
      "",
      aResult + ": pool " + backlog.pool_ + ", expected start in " +
        ms(forecast.start_) + ", end in " + ms(forecast.end_) + ", objective " +
        ms(forecast.objective_) + ", earliest start " +
        ms(forecast.earliestStart_) + ", latest useful start " +
        ms(forecast.latestUsefulStart_) + "; first sent " + ms(aTimes.waited_) +
        " ago; backlog of cell " + std::to_string(aAttempt.cell_) + ", term " +
        std::to_string(aKnown.term_) + ", version " +
        std::to_string(aKnown.version_) + ", age " + ms(aKnown.age_) + ", " +
        std::to_string(backlog.waitingItems_) + " items wait, " +
        std::to_string(backlog.usableCpu_) + " thousandths of a core usable, " +
        std::to_string(backlog.lendableCpu_) + " lendable" },
    context_.clocks_.Now());
}

Awaitable<std::optional<HttpResponse>>
AdmissionControl::Refuse(SubmissionAttempt aAttempt, RefusalState& aState)
{
  const auto mode = context_.tuning_.admission_;
  if (mode == AdmissionMode::Off || !HasObjective(aAttempt.job_)) {
    co_return std::nullopt;
  }
  const auto known = co_await FindBacklog(aAttempt);
  if (!known) {
    co_return std::nullopt;
  }
  for (int tries = 0; tries < kMaxTries; ++tries) {
    const auto now = context_.clocks_.TimeOfDay();
    AdmissionTimes times;
    times.backlogAge_ = known->age_;
    if (aState.record_) {
      if (HasReturnedAsTold(*aState.record_, now)) {
        co_return std::nullopt;
      }
      times.waited_ =
        std::clamp(now - aState.record_->firstSentAt_, Millis(0), kLongestWait);
    }
    const auto decision =
      DecideAdmission(known->backlog_, aAttempt.job_, times);
    if (decision.forecast_ && mode == AdmissionMode::Log) {
      LogDecision("job_forecast",
                  aAttempt,
                  *known,
                  decision,
                  times,
                  decision.isAdmitted_ ? "admitted" : "would be refused");
    }
    if (decision.isAdmitted_ || mode == AdmissionMode::Log) {
      co_return std::nullopt;
    }
    RefusalRecord record;
    record.firstSentAt_ =
      aState.record_ ? aState.record_->firstSentAt_ : aAttempt.beganAt_;
    record.refusedAt_ = now;
    const auto steady = context_.clocks_.Now();
    record.returnAt_ =
      aState.record_
        ? aState.record_->returnAt_
        : now +
            std::chrono::duration_cast<Millis>(
              slots_[aAttempt.job_.pool_].Take(steady + decision.retryAfter_,
                                               ReturnSpacing(known->backlog_)) -
              steady);
    const auto lease = co_await LeaseForRecords();
    if (lease == 0) {
      co_return std::nullopt;
    }
    StoreWrite write;
    write.conditions_.push_back({ aAttempt.jobKey_, 0 });
    write.conditions_.push_back({ aAttempt.refusalKey_, aState.revision_ });
    write.puts_.push_back(
      { aAttempt.refusalKey_, EncodeRefusal(record), lease });
    const auto reply = co_await context_.store_.Write(write);
    if (reply.IsDone()) {
      auto answer =
        refusals_.RefuseForPool(aAttempt.job_.pool_, record.returnAt_ - now);
      LogDecision("job_refused",
                  aAttempt,
                  *known,
                  decision,
                  times,
                  "its pool can't run it in a useful time (answered 503, "
                  "Retry-After " +
                    RetryAfterOf(answer) + ")");
      context_.peers_.Notify(
        aAttempt.cell_, kNotifyRefusalPath, aAttempt.job_.pool_);
      co_return answer;
    }
    const auto shown = RefusalShownBy(reply, aAttempt.refusalKey_);
    if (reply.status_ != StoreStatus::Conflict || !shown ||
        ShowsKey(reply, aAttempt.jobKey_)) {
      // An unanswered write, or the job is stored: storing it tells.
      co_return std::nullopt;
    }
    aState = *shown;
  }
  co_return std::nullopt;
}

Awaitable<std::optional<HttpResponse>>
AdmissionControl::RefuseAgain(SubmissionAttempt aAttempt, RefusalState& aState)
{
  if (aState.record_ && OvertookAttempt(*aState.record_, aAttempt.beganAt_)) {
    co_return refusals_.RefuseForPool(aAttempt.job_.pool_,
                                      aState.record_->returnAt_ -
                                        context_.clocks_.TimeOfDay());
  }
  co_return co_await Refuse(std::move(aAttempt), aState);
}

} // namespace cuminbridge
