// A loopback proxy.

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

constexpr Millis kStep(10); // between looks whether a held link goes on

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
    return trouble_ == Trouble::Silence ||
           trouble_ ==
             (aIsRequest ? Trouble::HoldRequests : Trouble::HoldAnswers);
  }

  Awaitable<void> Accept();
  Awaitable<void> Serve(std::shared_ptr<Pair> aPair);
  Awaitable<void> Carry(std::shared_ptr<Pair> aPair, bool aIsRequest);

  asio::io_context& io_;
  std::string near_;
  std::string far_;
  tcp::acceptor acceptor_;
  Trouble trouble_ = Trouble::None;
  int changes_ = 0; // an end that was meant for an earlier trouble is ignored
  std::set<std::shared_ptr<Pair>> pairs_;
};

Awaitable<void>
Link::State::Accept()
{
  const auto self = shared_from_this();
  while (acceptor_.is_open()) {
    auto pair = std::make_shared<Pair>(
      co_await acceptor_.async_accept(asio::use_awaitable));
    if (trouble_ == Trouble::Reset) {
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
    asio::co_spawn(io_, Carry(aPair, false), asio::detached);
    co_await Carry(aPair, true);
  } catch (const boost::system::system_error&) {
    aPair->Reset(); // the far side refuses: so does the near one
    pairs_.erase(aPair);
  }
}

Awaitable<void>
Link::State::Carry(std::shared_ptr<Pair> aPair, bool aIsRequest)
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
        co_await Wait(io_, kStep);
      }
      if (trouble_ == Trouble::Delay) {
        co_await Wait(io_, kDelay);
      }
      co_await asio::async_write(
        to, asio::buffer(part.data(), size), asio::use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    aPair->Reset(); // one side has closed, so the other one is told
    pairs_.erase(aPair);
  }
}

const char*
NameOf(Trouble aTrouble)
{
  static const char* const kNames[] = { "none",          "delay",
                                        "hold_requests", "hold_answers",
                                        "silence",       "reset" };
  return kNames[static_cast<int>(aTrouble)];
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
  const auto near = ReadEndpoint(state_->near_);
  auto& acceptor = state_->acceptor_;
  acceptor.open(near.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(near);
  acceptor.listen();
  asio::co_spawn(state_->io_, state_->Accept(), asio::detached);
}

void
Link::Disturb(Trouble aTrouble, Millis aTime)
{
  state_->trouble_ = aTrouble;
  const int change = ++state_->changes_;
  if (aTrouble == Trouble::Reset) {
    for (const auto& pair : state_->pairs_) {
      pair->Reset();
    }
  }
  asio::co_spawn(
    state_->io_,
    [state = state_, change, aTime]() -> Awaitable<void> {
      co_await Wait(state->io_, aTime);
      if (state->changes_ == change) {
        state->trouble_ = Trouble::None;
      }
    },
    asio::detached);
}

void
Link::Heal()
{
  ++state_->changes_;
  state_->trouble_ = Trouble::None;
}

const std::string&
Link::Name() const
{
  return state_->near_;
}

} // namespace cuminbridge::soak
