// cuminbridge wire: frames between entries, as CBOR.
//
//   std::string bytes = EncodeFrame(self, message);   // to send
//   auto frame = DecodeFrame(bytes);                  // a LEAF result
//
// A frame is one CBOR array: version, sender's id, incarnation, address and
// data centre, message type, message. Every frame names the incarnation of its
// sender, so that a late frame of a replaced process is known for what it is.

#ifndef cuminbridge_wire_h
#define cuminbridge_wire_h

#include "cuminbridge/model.h"

namespace cuminbridge::forwarder {

// Frames of other versions are refused.
inline constexpr int kWireVersion = 1;

// Largest frame, in bytes: a whole configuration of 13,000 VMs fits.
inline constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

// Deepest nesting of a frame. Deeper ones are refused before they are built.
inline constexpr int kMaxFrameDepth = 12;

struct Frame
{
  Member sender_;
  PeerMessage message_;
};

std::string EncodeFrame(const Member& aSender, const PeerMessage& aMessage);

// On failure the LEAF error carries a std::string that says what is wrong.
boost::leaf::result<Frame> DecodeFrame(std::string_view aBytes);

} // namespace cuminbridge::forwarder

#endif // cuminbridge_wire_h
