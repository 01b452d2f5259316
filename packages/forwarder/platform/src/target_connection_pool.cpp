// TargetConnectionPool: idle connections to targets.

#include "http_call.h"

namespace cuminbridge::forwarder {

namespace {

constexpr std::chrono::seconds kConnectTimeout(1);
constexpr std::chrono::seconds kIdleTimeout(30);

} // namespace

TargetConnectionPool::TargetConnectionPool(boost::asio::io_context& aIo)
  : io_(aIo)
{
}

Awaitable<TargetConnection>
TargetConnectionPool::Acquire(std::string aAddress)
{
  auto& idle = idle_[aAddress];
  while (!idle.empty()) {
    TargetConnection connection = std::move(idle.back().connection_);
    idle.pop_back();
    if (IsReusable(*connection.stream_)) {
      co_return connection;
    }
  }
  TargetConnection connection;
  connection.address_ = aAddress;
  boost::system::error_code error;
  const auto endpoint = ParseEndpoint(aAddress, error);
  if (error) {
    co_return connection;
  }
  auto stream = std::make_unique<Stream>(io_.get_executor());
  stream->expires_after(kConnectTimeout);
  const auto [failed] = co_await stream->async_connect(endpoint, kAsTuple);
  if (!failed) {
    stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
    connection.stream_ = std::move(stream);
  }
  co_return connection;
}

void
TargetConnectionPool::Release(TargetConnection aConnection)
{
  auto& idle = idle_[aConnection.address_];
  idle.push_back({ std::move(aConnection), std::chrono::steady_clock::now() });
}

void
TargetConnectionPool::CloseIdle()
{
  const auto oldest = std::chrono::steady_clock::now() - kIdleTimeout;
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& idle = it->second;
    while (!idle.empty() && idle.front().since_ < oldest) {
      idle.pop_front();
    }
    it = idle.empty() ? idle_.erase(it) : std::next(it);
  }
}

} // namespace cuminbridge::forwarder
