// Internal: the record of a refused job in the store. It makes a refusal true:
// an earlier attempt to store the job, which may still be on its way, is
// conditional on the record that it knew. And it tells every entry when the job
// was first sent, and for when its caller was told to return.

#ifndef cuminbridge_daemon_admission_refusal_record_h
#define cuminbridge_daemon_admission_refusal_record_h

#include "records.h"

namespace cuminbridge {

struct RefusalRecord
{
  WallTime firstSentAt_; // when an entry got the job first
  WallTime refusedAt_;   // last
  WallTime returnAt_;    // when its caller was told to return

  bool operator==(const RefusalRecord&) const = default;
};

std::string EncodeRefusal(const RefusalRecord& aRecord);
std::optional<RefusalRecord> DecodeRefusal(const std::string& aText);

// Records live at least this long: longer than callers send a job again.
inline constexpr Millis kRefusalTime(20000);

// What an attempt to store a job knows about earlier attempts. The revision is
// that of the job's refusal record; 0 if there is none.
struct RefusalState
{
  std::int64_t revision_ = 0;
  std::optional<RefusalRecord> record_;

  bool operator==(const RefusalState&) const = default;
};

// The state that a rejected write shows; nothing if it does not show the key.
std::optional<RefusalState> RefusalShownBy(const StoreReply& aReply,
                                           const std::string& aKey);

// Whether the caller has returned when it was told to, so that it is not turned
// away again.
bool HasReturnedAsTold(const RefusalRecord& aRecord, WallTime aNow);

// Whether the refusal was given while an attempt was under way that began at
// aBegan. The caller has then been told that the job never runs.
bool OvertookAttempt(const RefusalRecord& aRecord, WallTime aBegan);

} // namespace cuminbridge

#endif // cuminbridge_daemon_admission_refusal_record_h
