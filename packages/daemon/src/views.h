// Internal: read-only views of an entry for operators, as JSON.

#ifndef cuminbridge_daemon_views_h
#define cuminbridge_daemon_views_h

#include "caller_api.h"

namespace cuminbridge {

// Prefix of the operators' paths, on the internal address of an entry. They
// change nothing; operators submit jobs through the callers' interface.
inline constexpr const char* kViewPrefix = "/v1/";

// aView is "queues", "pools", "accounts", "waves" or "owner"; any other name is
// answered 404. "queues" is answered by every entry. The others need the owner:
// another entry answers 421 with the owner's address.
HttpResponse ShowView(std::string_view aView,
                      const CallerApi& aCallerApi,
                      const Owner* aOwner,
                      const PlatformSettings& aSettings);

} // namespace cuminbridge

#endif // cuminbridge_daemon_views_h
