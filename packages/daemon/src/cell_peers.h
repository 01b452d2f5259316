// Internal: the owners of all cells, as this process knows them, and messages
// to them.

#ifndef cuminbridge_daemon_cell_peers_h
#define cuminbridge_daemon_cell_peers_h

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cuminbridge/web.h"

namespace cuminbridge {

// Bytes of the answer of another entry. The longest one reports the backlogs of
// all pools that are short.
inline constexpr std::uint64_t kMaxPeerReply = 65536;

class CellPeers
{
public:
  CellPeers(boost::asio::io_context& aIo, HttpClient& aHttp);

  void SetCount(int aCells);
  int Count() const { return static_cast<int>(addresses_.size()); }

  // Address for peers of the owner of a cell; empty if none is known.
  void SetAddress(int aCell, std::string aAddress);
  const std::string& AddressOf(int aCell) const;
  std::string AnyAddress() const; // of some owner; empty if none is known
  int CountCellsOf(const std::string& aAddress) const; // that the address owns

  // Gets the body of an answer.
  using OnAnswer = std::function<void(const std::string&)>;

  // Sends a message to the owner of a cell, if one is known. Does not wait for
  // an answer and does not retry: owners also watch the store.
  void Notify(int aCell,
              const char* aPath,
              std::string aBody,
              OnAnswer aOnAnswer = {});
  // Asks the owner of a cell. Nothing without an answer within aLimit.
  Awaitable<std::optional<std::string>> Ask(int aCell,
                                            const char* aPath,
                                            std::chrono::milliseconds aLimit);

private:
  std::string PathFor(int aCell, const char* aPath) const;
  Awaitable<void> Send(std::string aAddress,
                       HttpCall aCall,
                       OnAnswer aOnAnswer);

  boost::asio::io_context& io_;
  HttpClient& http_;
  std::vector<std::string> addresses_; // by cell
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_cell_peers_h
