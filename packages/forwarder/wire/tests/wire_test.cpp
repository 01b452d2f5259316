// Frames: there and back, and what must be refused.

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "cuminbridge/wire.h"

using namespace cuminbridge::forwarder;

namespace {

const Member kSender{ "10.0.0.1:7000", 42, "10.0.0.1:7000", "a", true };

} // namespace

TEST_CASE("a frame comes back as it was sent")
{
  Prepare prepare;
  prepare.operation_ = "op";
  prepare.baseRevision_ = 17;
  prepare.change_.members_ = { kSender };
  PoolConfig pool;
  pool.name_ = "a";
  pool.vms_ = { "10.0.0.7" };
  pool.scheduler_ = Scheduler::Old;
  pool.round_ = 3;
  prepare.change_.pools_ = { pool };
  const auto frame = DecodeFrame(EncodeFrame(kSender, prepare));
  REQUIRE(frame);
  REQUIRE(frame->sender_.id_ == kSender.id_);
  REQUIRE(frame->sender_.incarnation_ == kSender.incarnation_);
  const auto& back = std::get<Prepare>(frame->message_);
  REQUIRE(back.baseRevision_ == 17);
  REQUIRE(back.change_.pools_ == std::vector<PoolConfig>{ pool });
  REQUIRE(back.change_.members_ == std::vector<Member>{ kSender });
}

TEST_CASE("each kind of message keeps its number on the wire")
{
  // A change of these numbers breaks fleets during a rolling replacement.
  REQUIRE(PeerMessage(Heartbeat{}).index() == 0);
  REQUIRE(PeerMessage(Goodbye{}).index() + 1 ==
          std::variant_size_v<PeerMessage>);
  const auto frame = DecodeFrame(EncodeFrame(kSender, Goodbye{}));
  REQUIRE(frame);
  REQUIRE(std::holds_alternative<Goodbye>(frame->message_));
}

TEST_CASE("deep nesting is refused before it costs stack")
{
  constexpr char kArrayOfOne = '\x81';
  REQUIRE_FALSE(DecodeFrame(std::string(1'000'000, kArrayOfOne)));
}

TEST_CASE("no bytes make the reader fail otherwise than by an error")
{
  REQUIRE(rc::check(
    [](const std::string& aBytes) { RC_ASSERT(!DecodeFrame(aBytes)); }));
  const std::string good =
    EncodeFrame(kSender, Heartbeat{ 5, { { "t", { 1, 2, 3 } } } });
  REQUIRE(rc::check([&] {
    std::string bytes = good;
    const auto changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    (void)DecodeFrame(bytes); // an error or a frame, nothing else
  }));
}
