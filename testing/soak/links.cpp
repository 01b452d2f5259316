// Implements the loopback proxy.

#include "links.h"

#include <array>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cuminbridge::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Millis kHoldPollInterval(10); // checks whether a hold is over

struct Pair
{
  explicit Pair(tcp::socket aNear)
    : near_(std::move(aNear))
    , far_(near_.get_executor())
  {
  }

  void Reset()
  {
    boost::system::error_code ignored;
    for (auto* socket : { &near_, &far_ }) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  tcp::socket near_;
  tcp::socket far_;
};

Awaitable<void>
Wait(asio::io_context& aIo, Millis aTime)
{
  asio::steady_timer timer(aIo, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

struct Link::State : std::enable_shared_from_this<State>
{
  State(asio::io_context& aIo, std::string aNear, std::string aFar)
    : io_(aIo)
    , near_(std::move(aNear))
    , far_(std::move(aFar))
    , acceptor_(aIo)
  {
  }

  bool IsHeld(bool aIsRequest) const
  {
    return fault_ == LinkFault::Silence || fault_ == LinkFault::Vanish ||
           fault_ ==
             (aIsRequest ? LinkFault::HoldRequests : LinkFault::HoldAnswers);
  }

  void Listen(); // throws if the near address is in use
  void SetFault(LinkFault aFault);
  Awaitable<void> Accept();
  Awaitable<void> Serve(std::shared_ptr<Pair> aPair);
  Awaitable<void> Forward(std::shared_ptr<Pair> aPair, bool aIsRequest);

  asio::io_context& io_;
  std::string near_;
  std::string far_;
  tcp::acceptor acceptor_;
  LinkFault fault_ = LinkFault::None;
  int changes_ = 0; // so that the timer of an earlier fault ends no later one
  std::set<std::shared_ptr<Pair>> pairs_;
};

void
Link::State::Listen()
{
  const auto near = ReadEndpoint(near_);
  acceptor_.open(near.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(near);
  acceptor_.listen();
  asio::co_spawn(io_, Accept(), asio::detached);
}

void
Link::State::SetFault(LinkFault aFault)
{
  const bool mustReset = fault_ == LinkFault::Vanish ||
                         aFault == LinkFault::Reset ||
                         aFault == LinkFault::Refuse;
  fault_ = aFault;
  ++changes_;
  if (aFault == LinkFault::Refuse) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  } else if (!acceptor_.is_open()) {
    Listen();
  }
  if (mustReset) {
    for (const auto& pair : pairs_) {
      pair->Reset();
    }
  }
}

Awaitable<void>
Link::State::Accept()
{
  const auto self = shared_from_this();
  while (acceptor_.is_open()) {
    auto pair = std::make_shared<Pair>(
      co_await acceptor_.async_accept(asio::use_awaitable));
    if (fault_ == LinkFault::Reset || fault_ == LinkFault::Refuse) {
      pair->Reset();
      continue;
    }
    pairs_.insert(pair);
    asio::co_spawn(io_, Serve(pair), asio::detached);
  }
}

Awaitable<void>
Link::State::Serve(std::shared_ptr<Pair> aPair)
{
  const auto self = shared_from_this();
  try {
    co_await aPair->far_.async_connect(ReadEndpoint(far_), asio::use_awaitable);
    asio::co_spawn(io_, Forward(aPair, false), asio::detached);
    co_await Forward(aPair, true);
  } catch (const boost::system::system_error&) {
    aPair->Reset(); // the far side refused the connection
    pairs_.erase(aPair);
  }
}

Awaitable<void>
Link::State::Forward(std::shared_ptr<Pair> aPair, bool aIsRequest)
{
  const auto self = shared_from_this();
  auto& from = aIsRequest ? aPair->near_ : aPair->far_;
  auto& to = aIsRequest ? aPair->far_ : aPair->near_;
  try {
    std::array<char, 16384> part{};
    while (true) {
      const auto size =
        co_await from.async_read_some(asio::buffer(part), asio::use_awaitable);
      while (IsHeld(aIsRequest)) {
        co_await Wait(io_, kHoldPollInterval);
      }
      if (fault_ == LinkFault::Delay) {
        co_await Wait(io_, kDelay);
      }
      co_await asio::async_write(
        to, asio::buffer(part.data(), size), asio::use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    aPair->Reset(); // one side has closed: closes the other one too
    pairs_.erase(aPair);
  }
}

const char*
NameOf(LinkFault aFault)
{
  static const char* const kNames[] = { "none",          "delay",
                                        "hold_requests", "hold_answers",
                                        "silence",       "reset",
                                        "refuse",        "vanish" };
  return kNames[static_cast<int>(aFault)];
}

Link::Link(asio::io_context& aIo, std::string aNear, std::string aFar)
  : state_(std::make_shared<State>(aIo, std::move(aNear), std::move(aFar)))
{
}

Link::~Link()
{
  boost::system::error_code ignored;
  state_->acceptor_.close(ignored);
  for (const auto& pair : state_->pairs_) {
    pair->Reset();
  }
}

void
Link::Open()
{
  state_->Listen();
}

void
Link::InjectFault(LinkFault aFault, Millis aTime)
{
  state_->SetFault(aFault);
  asio::co_spawn(
    state_->io_,
    [state = state_, change = state_->changes_, aTime]() -> Awaitable<void> {
      co_await Wait(state->io_, aTime);
      if (state->changes_ == change) {
        state->SetFault(LinkFault::None);
      }
    },
    asio::detached);
}

void
Link::ClearFault()
{
  state_->SetFault(LinkFault::None);
}

const std::string&
Link::Name() const
{
  return state_->near_;
}

} // namespace cuminbridge::soak
