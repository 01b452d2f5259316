// What all components of a daemon share.

#include "daemon_context.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cuminbridge {

namespace asio = boost::asio;

Awaitable<void>
Sleep(asio::io_context& aIo, Millis aTime)
{
  asio::steady_timer timer(aIo, aTime);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::string
PeerAddress(const PlatformSettings& aSettings)
{
  return aSettings.ip_ + ':' + std::to_string(aSettings.firstInternalPort_);
}

std::string
OwnerPath(int aCell)
{
  return aCell == 0 ? kOwnerPath
                    : std::string(kOwnerPath) + '/' + std::to_string(aCell);
}

const char*
DescribeStatus(StoreStatus aStatus)
{
  switch (aStatus) {
    case StoreStatus::Done:
      return "done";
    case StoreStatus::Missing:
      return "no such key";
    case StoreStatus::Conflict:
      return "conflict";
    case StoreStatus::Expired:
      return "revision expired";
    case StoreStatus::Refused:
      return "refused";
    case StoreStatus::Unknown:
      return "no answer";
  }
  return "";
}

} // namespace cuminbridge
