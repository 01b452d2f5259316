// Internal: admission control of one entry. Asks owners for their backlogs, and
// stores the refusals that DecideAdmission() calls for.

#ifndef cuminbridge_daemon_admission_admission_control_h
#define cuminbridge_daemon_admission_admission_control_h

#include "backlogs.h"
#include "owner.h"
#include "refusal.h"
#include "refusal_record.h"

namespace cuminbridge {

// One attempt of a caller to submit a job.
struct SubmissionAttempt
{
  const Job& job_;
  int cell_ = 0;
  std::shared_ptr<Owner> owner_; // of the cell, if it is in this process
  std::string jobKey_;
  std::string refusalKey_;
  WallTime beganAt_;
};

class AdmissionControl
{
public:
  explicit AdmissionControl(DaemonContext aContext, Refusals& aRefusals);

  // The answer of an owner to a message that was sent at aAskedAt.
  void NoteAnswer(int aCell, const std::string& aBody, Instant aAskedAt);

  // The answer to a caller whose job is refused; nothing if it may be stored.
  // Updates aState: the job may then only be stored while that is the state.
  Awaitable<std::optional<HttpResponse>> Refuse(SubmissionAttempt aAttempt,
                                                RefusalState& aState);

  // The same for a job that was refused before, as the store shows.
  Awaitable<std::optional<HttpResponse>> RefuseAgain(SubmissionAttempt aAttempt,
                                                     RefusalState& aState);

private:
  Awaitable<std::optional<Backlogs::Known>> FindBacklog(
    const SubmissionAttempt& aAttempt);
  Awaitable<std::int64_t> LeaseForRecords(); // 0 if the store gives none
  void LogDecision(const char* aEvent,
                   const SubmissionAttempt& aAttempt,
                   const Backlogs::Known& aKnown,
                   const AdmissionDecision& aDecision,
                   const AdmissionTimes& aTimes,
                   const std::string& aResult);

  DaemonContext context_;
  Refusals& refusals_;
  Backlogs backlogs_;
  std::map<std::string, ReturnSlots> slots_; // by pool
  std::int64_t lease_ = 0;                   // of new refusal records
  Instant leaseUsableUntil_;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_admission_admission_control_h
