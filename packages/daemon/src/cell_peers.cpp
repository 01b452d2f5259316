// The owners of all cells, and messages to them.

#include "cell_peers.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cuminbridge {

namespace asio = boost::asio;

namespace {

// By then the owner's watch of the store has reported the same.
constexpr std::chrono::milliseconds kNotifyTimeout(300);

} // namespace

CellPeers::CellPeers(asio::io_context& aIo, HttpClient& aHttp)
  : io_(aIo)
  , http_(aHttp)
{
}

void
CellPeers::SetCount(int aCells)
{
  addresses_.resize(static_cast<std::size_t>(aCells));
}

void
CellPeers::SetAddress(int aCell, std::string aAddress)
{
  if (aCell >= 0 && aCell < Count()) {
    addresses_[static_cast<std::size_t>(aCell)] = std::move(aAddress);
  }
}

const std::string&
CellPeers::AddressOf(int aCell) const
{
  static const std::string kNone;
  return aCell >= 0 && aCell < Count()
           ? addresses_[static_cast<std::size_t>(aCell)]
           : kNone;
}

std::string
CellPeers::AnyAddress() const
{
  const auto found =
    std::find_if(addresses_.begin(),
                 addresses_.end(),
                 [](const std::string& aAddress) { return !aAddress.empty(); });
  return found == addresses_.end() ? "" : *found;
}

int
CellPeers::CountCellsOf(const std::string& aAddress) const
{
  return static_cast<int>(
    std::count(addresses_.begin(), addresses_.end(), aAddress));
}

std::string
CellPeers::PathFor(int aCell, const char* aPath) const
{
  return Count() > 1 ? std::string(aPath) + '/' + std::to_string(aCell) : aPath;
}

void
CellPeers::Notify(int aCell,
                  const char* aPath,
                  std::string aBody,
                  OnAnswer aOnAnswer)
{
  const auto& address = AddressOf(aCell);
  if (address.empty()) {
    return;
  }
  HttpCall call;
  call.kind_ = "peer_notify";
  call.method_ = "POST";
  call.path_ = PathFor(aCell, aPath);
  call.body_ = std::move(aBody);
  call.limit_ = kNotifyTimeout;
  call.maxReplyBytes_ = kMaxPeerReply;
  asio::co_spawn(
    io_, Send(address, std::move(call), std::move(aOnAnswer)), asio::detached);
}

Awaitable<void>
CellPeers::Send(std::string aAddress, HttpCall aCall, OnAnswer aOnAnswer)
{
  const auto reply = co_await http_.Call(aAddress, std::move(aCall));
  if (aOnAnswer && reply.IsAnswered()) {
    aOnAnswer(reply.body_);
  }
}

Awaitable<std::optional<std::string>>
CellPeers::Ask(int aCell, const char* aPath, std::chrono::milliseconds aLimit)
{
  std::optional<std::string> body;
  const std::string address = AddressOf(aCell);
  if (!address.empty()) {
    HttpCall call;
    call.kind_ = "peer_ask";
    call.path_ = PathFor(aCell, aPath);
    call.limit_ = aLimit;
    auto reply = co_await http_.Call(address, std::move(call));
    if (reply.IsAnswered()) {
      body = std::move(reply.body_);
    }
  }
  co_return body;
}

} // namespace cuminbridge
