// Internal: read-only views of an entry for operators, as JSON.

#ifndef cuminbridge_daemon_views_h
#define cuminbridge_daemon_views_h

#include "caller_api.h"

namespace cuminbridge {

// Prefix of the operators' paths, on the internal address of an entry. They
// change nothing; operators submit jobs through the callers' interface.
inline constexpr const char* kViewPrefix = "/v1/";

// aView is "queues", "pools", "accounts", "waves", "evacuations", "owner" or
// "owners"; any other name is answered 404. "queues" and "owners" are answered
// by every entry. The others show the cells that this entry owns: an entry that
// owns none answers 421 with the address of an owner.
HttpResponse ShowView(std::string_view aView,
                      const CallerApi& aCallerApi,
                      const CellPeers& aPeers,
                      const std::vector<Owner*>& aOwners,
                      const PlatformSettings& aSettings);

} // namespace cuminbridge

#endif // cuminbridge_daemon_views_h
