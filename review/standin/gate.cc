// The proxy in front of a worker.

#include <algorithm>
#include <array>
#include <iostream>
#include <list>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "world.hh"

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

struct Pair
{
  explicit Pair(tcp::socket aCaller)
    : caller_(std::move(aCaller))
    , worker_(caller_.get_executor())
  {
  }
  tcp::socket caller_;
  tcp::socket worker_;
};

void
Reset(tcp::socket& aSocket)
{
  boost::system::error_code ignored; // it may be closed already
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

// A link that all connections of a gate share.
struct Link
{
  std::int64_t bytesPerSecond_ = 0; // 0: no limit
  bool isSilent_ = false;
  std::chrono::steady_clock::time_point freeAt_;

  Awaitable<void> WaitWhileSilent()
  {
    constexpr std::chrono::milliseconds kStep(5);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (isSilent_) {
      timer.expires_after(kStep);
      co_await timer.async_wait(kAsTuple);
    }
  }

  Awaitable<void> Send(std::size_t aBytes)
  {
    co_await WaitWhileSilent();
    if (bytesPerSecond_ == 0) {
      co_return;
    }
    constexpr std::int64_t kNanos = 1000000000;
    const auto now = std::chrono::steady_clock::now();
    freeAt_ = std::max(now, freeAt_) +
              std::chrono::nanoseconds(static_cast<std::int64_t>(aBytes) *
                                       kNanos / bytesPerSecond_);
    asio::steady_timer timer(co_await asio::this_coro::executor, freeAt_);
    co_await timer.async_wait(kAsTuple);
  }
};

Awaitable<void>
Pump(std::shared_ptr<Pair> aPair,
     tcp::socket& aFrom,
     tcp::socket& aTo,
     Link& aLink)
{
  std::array<char, 16384> buffer;
  while (true) {
    const auto [readError, got] =
      co_await aFrom.async_read_some(asio::buffer(buffer), kAsTuple);
    if (readError) {
      break;
    }
    co_await aLink.Send(got);
    const auto [writeError, sent] =
      co_await asio::async_write(aTo, asio::buffer(buffer, got), kAsTuple);
    if (writeError) {
      break;
    }
  }
  boost::system::error_code ignored;
  aPair->caller_.close(ignored);
  aPair->worker_.close(ignored);
}

} // namespace

struct Gate::State : std::enable_shared_from_this<Gate::State>
{
  State(asio::io_context& aIo,
        std::string aListen,
        std::string aTo,
        std::int64_t aBytesPerSecond)
    : io_(aIo)
    , acceptor_(aIo)
    , listen_(std::move(aListen))
    , to_(std::move(aTo))
  {
    back_.bytesPerSecond_ = aBytesPerSecond;
  }

  Awaitable<void> Accept()
  {
    const auto self = shared_from_this();
    while (acceptor_.is_open()) {
      auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      auto pair = std::make_shared<Pair>(std::move(socket));
      pairs_.push_back(pair);
      asio::co_spawn(io_, Forward(std::move(pair)), asio::detached);
    }
  }

  Awaitable<void> Forward(std::shared_ptr<Pair> aPair)
  {
    const auto self = shared_from_this();
    const auto [error] = co_await aPair->worker_.async_connect(
      cuminbridge::ReadEndpoint(to_), kAsTuple);
    if (!error && aPair->caller_.is_open()) {
      boost::system::error_code ignored; // the option only reduces latency
      aPair->caller_.set_option(tcp::no_delay(true), ignored);
      aPair->worker_.set_option(tcp::no_delay(true), ignored);
      asio::co_spawn(io_,
                     Pump(aPair, aPair->worker_, aPair->caller_, back_),
                     asio::detached);
      co_await Pump(aPair, aPair->caller_, aPair->worker_, forth_);
    }
    std::erase(pairs_, aPair);
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  std::string listen_;
  std::string to_;
  Link back_;
  Link forth_;
  std::vector<std::shared_ptr<Pair>> pairs_;
};

Gate::Gate(asio::io_context& aIo,
           std::string aListen,
           std::string aTo,
           std::int64_t aBytesPerSecond)
  : state_(std::make_shared<State>(aIo,
                                   std::move(aListen),
                                   std::move(aTo),
                                   aBytesPerSecond))
{
}

void
Gate::Open()
{
  auto& acceptor = state_->acceptor_;
  const auto endpoint = cuminbridge::ReadEndpoint(state_->listen_);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    std::cerr << state_->listen_ << ": " << error.message() << "\n";
    std::exit(2);
  }
  asio::co_spawn(state_->io_, state_->Accept(), asio::detached);
}

void
Gate::SetSilent(bool aIsSilent)
{
  state_->back_.isSilent_ = aIsSilent;
  state_->forth_.isSilent_ = aIsSilent;
}

void
Gate::Close()
{
  boost::system::error_code ignored;
  state_->acceptor_.close(ignored);
  for (const auto& pair : state_->pairs_) {
    Reset(pair->caller_);
    Reset(pair->worker_);
  }
}

} // namespace review
