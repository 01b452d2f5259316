// cuminbridge wire: frames between entries, as CBOR.
//
//   std::string bytes = EncodeFrame(self, message);   // to send
//   auto frame = DecodeFrame(bytes);                  // a LEAF result
//
// A frame is one CBOR array: version, sender's id, incarnation, address and
// data centre, message type, message. Every frame carries the incarnation of
// its sender, so that the receiver can drop late frames of a replaced process.
// The sender's voter flag is not sent.

#ifndef cuminbridge_wire_h
#define cuminbridge_wire_h

#include "cuminbridge/model.h"

namespace cuminbridge::forwarder {

// DecodeFrame() rejects frames of any other version.
inline constexpr int kWireVersion = 1;

// Maximum frame size in bytes. A complete configuration of 13,000 VMs fits.
inline constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

// Maximum nesting depth of a frame. DecodeFrame() rejects deeper frames before
// it builds them, because the decoder uses stack for each level.
inline constexpr int kMaxFrameDepth = 12;

struct Frame
{
  Member sender_;
  PeerMessage message_;
};

std::string EncodeFrame(const Member& aSender, const PeerMessage& aMessage);

// Decodes untrusted bytes. On failure the LEAF error carries a std::string that
// describes the fault.
boost::leaf::result<Frame> DecodeFrame(std::string_view aBytes);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_wire_h
