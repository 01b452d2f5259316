// Internal: answers with 503, and when their callers should return. Apart from
// Refusals, pure functions of their arguments.

#ifndef cuminbridge_daemon_admission_refusal_h
#define cuminbridge_daemon_admission_refusal_h

#include "cuminbridge/adapter.h"

namespace cuminbridge {

enum class RefusalCause
{
  NoConfiguration, // this entry has read none yet
  StoreLost,       // the store does not answer this entry
  StoreCallFailed, // the store answers, but did not carry this call out
  CountTooOld,     // no recent count of waiting jobs is known
  PoolFull,        // the job's pool can't run it in a useful time
};

const char* NameOf(RefusalCause aCause);

// For operators: refused requests by cause and pool. The pool is empty unless
// the cause is PoolFull.
using RefusalCounts =
  std::map<std::pair<RefusalCause, std::string>, std::uint64_t>;

// How long an outage that has lasted for aLasted is expected to go on: as long
// again, within the bounds of what callers wait for an answer.
Millis ExpectedOutage(Millis aLasted);

// Deals out the times at which refused callers return, so that those who were
// refused together do not come back together. Designed for the seconds after an
// outage, when the callers of the whole outage return.
class ReturnSlots
{
public:
  // The first free time from aEarliest on. The next one is aSpacing later.
  Instant Take(Instant aEarliest, Millis aSpacing);

private:
  Instant next_;
};

// The Retry-After header is in whole seconds. Rounded up: a caller that comes
// too early is refused again.
int RetryAfterSeconds(Millis aDelay);

// The header of a refusal, for the log.
std::string RetryAfterOf(const HttpResponse& aRefusal);

// All refusals of one entry.
class Refusals
{
public:
  // aLasted: for how long the cause has lasted.
  HttpResponse Refuse(RefusalCause aCause, Millis aLasted, Instant aNow);
  // The pool can run the job in a useful time after aDelay.
  HttpResponse RefuseForPool(const std::string& aPool, Millis aDelay);

  const RefusalCounts& Counts() const { return counts_; }

private:
  ReturnSlots slots_;
  RefusalCounts counts_;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_admission_refusal_h
