// Encoding and decoding of frames, and rejection of malformed ones.

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "cuminbridge/wire.h"

using namespace cuminbridge::forwarder;

namespace {

const Member kSender{ "10.0.0.1:7000", 42, "10.0.0.1:7000", "a", true };

} // namespace

TEST_CASE("a decoded frame equals the encoded one")
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
  const auto& decoded = std::get<Prepare>(frame->message_);
  REQUIRE(decoded.baseRevision_ == 17);
  REQUIRE(decoded.change_.pools_ == std::vector<PoolConfig>{ pool });
  REQUIRE(decoded.change_.members_ == std::vector<Member>{ kSender });
}

TEST_CASE("message type numbers on the wire do not change")
{
  // During a rolling upgrade entries of two builds exchange frames: a changed
  // number would make one build misread the messages of the other.
  REQUIRE(PeerMessage(Heartbeat{}).index() == 0);
  REQUIRE(PeerMessage(Goodbye{}).index() + 1 ==
          std::variant_size_v<PeerMessage>);
  const auto frame = DecodeFrame(EncodeFrame(kSender, Goodbye{}));
  REQUIRE(frame);
  REQUIRE(std::holds_alternative<Goodbye>(frame->message_));
}

TEST_CASE("deeply nested frames are rejected without exhausting the stack")
{
  // The decoder uses stack for each level: a frame of nested arrays could crash
  // the process if it was decoded.
  constexpr char kArrayOfOne = '\x81';
  REQUIRE_FALSE(DecodeFrame(std::string(1'000'000, kArrayOfOne)));
}

TEST_CASE("malformed bytes give an error and never a crash or an exception")
{
  REQUIRE(rc::check(
    [](const std::string& aBytes) { RC_ASSERT(!DecodeFrame(aBytes)); }));
  // A valid frame with a few changed bytes and a cut end.
  const std::string valid =
    EncodeFrame(kSender, Heartbeat{ 5, { { "t", { 1, 2, 3 } } } });
  REQUIRE(rc::check([&] {
    std::string bytes = valid;
    const auto changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    (void)DecodeFrame(bytes); // either outcome is valid, but no exception
  }));
}
