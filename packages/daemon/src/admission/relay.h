// Internal: while the store is lost for this entry alone, has a peer that
// reaches it answer a caller. Designed for a store that turns some entries
// away, or a link that is cut: the caller's next attempt would come a second
// later, often to the same entry.

#ifndef cuminbridge_daemon_admission_relay_h
#define cuminbridge_daemon_admission_relay_h

#include "daemon_context.h"

namespace cuminbridge {

// Where peers answer relayed requests. They do not relay them again.
inline constexpr const char* kRelayPath = "/relay";

// A caller's request, and the version of the configuration that the entry goes
// by which relays it. An entry that goes by an older one does not answer: the
// caller would see queues and keys come and go.
struct RelayedRequest
{
  HttpRequest request_;
  std::int64_t configVersion_ = 0; // 0: of an earlier version of this program
};

// The answer of a peer, and the version of the configuration that it goes by.
struct RelayAnswer
{
  HttpResponse response_;
  std::int64_t configVersion_ = 0; // as above
};

std::string EncodeRelayed(const RelayedRequest& aRelayed);
std::optional<RelayedRequest> DecodeRelayed(const std::string& aText);
// The answer of a peer: 503 if it does not reach the store either.
HttpResponse EncodeRelayAnswer(const std::optional<HttpResponse>& aAnswer,
                               std::int64_t aConfigVersion);
// Nothing if the peer did not do what was asked for.
std::optional<RelayAnswer> DecodeRelayAnswer(const HttpReply& aReply);

class Relay
{
public:
  explicit Relay(DaemonContext aContext);

  // The answer of a peer to a request about a job of the cell: of the cell's
  // owner, or else of another owner. Nothing if no peer could do what the
  // request asks for either; it has then surely not been done. A peer that did
  // not answer may have done it: 504.
  Awaitable<std::optional<HttpResponse>> Ask(RelayedRequest aRelayed,
                                             int aCell,
                                             Millis aLimit);

  std::uint64_t Answered() const { return answered_; } // by a peer
  // Newest version of the configuration that a peer has answered by. Callers
  // have seen its effects here.
  std::int64_t NewestConfig() const { return newestConfig_; }

private:
  std::vector<std::string> ChoosePeers(int aCell) const;

  DaemonContext context_;
  Instant nextTry_;
  std::uint64_t answered_ = 0;
  std::int64_t newestConfig_ = 0;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_admission_relay_h
