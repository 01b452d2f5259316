// Internal: what operators read from an entry, as JSON.

#ifndef cuminbridge_daemon_views_h
#define cuminbridge_daemon_views_h

#include "intake.h"

namespace cuminbridge {

// Paths of the operators' interface, on the internal address of an entry. It
// shows and changes nothing; jobs are handed in where callers do it.
inline constexpr const char* kViewPrefix = "/v1/";

// aView is "queues", "pools", "accounts", "waves" or "owner". All but the first
// are known to the owner only: another entry answers 421 with the owner's
// address.
HttpResponse ShowView(std::string_view aView,
                      const Intake& aIntake,
                      const Owner* aOwner,
                      const PlatformSettings& aSettings);

} // namespace cuminbridge

#endif // cuminbridge_daemon_views_h
