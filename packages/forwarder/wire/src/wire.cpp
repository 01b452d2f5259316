// Encodes and decodes frames as CBOR with nlohmann::json.

#include "cuminbridge/wire.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

namespace cuminbridge::forwarder {

namespace leaf = boost::leaf;
using nlohmann::json;

//-----------------------------------------------------------------------------
// [SECTION] Fields of each message
//-----------------------------------------------------------------------------
// The fields go out under their C++ names: renaming one changes the protocol.

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AccountUse, idle_, running_, waiting_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat, sequence_, accounts_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeartbeatAck,
                                   sequence_,
                                   revision_,
                                   number_,
                                   pending_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigDelta,
                                   revision_,
                                   number_,
                                   sinceNumber_,
                                   digest_,
                                   members_,
                                   pools_,
                                   accounts_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Prepare, operation_, baseRevision_, change_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PrepareAck, operation_, accepted_, revision_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Abort, operation_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigRequest, haveRevision_, haveNumber_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigReply, inForce_, pending_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigAck, revision_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitRequest, account_, count_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitTransfer,
                                   transfer_,
                                   epoch_,
                                   account_,
                                   count_,
                                   slots_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotRequest, pool_, count_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitReceipt, transfer_, accepted_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AuditRequest, epoch_, audit_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AuditReply, audit_, held_, transfers_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LedgerUpdate, revision_, number_, issued_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimRequest, epoch_, key_, request_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimReply,
                                   epoch_,
                                   key_,
                                   request_,
                                   granted_,
                                   held_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimRelease, key_, request_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimSyncRequest, epoch_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimSyncReply, epoch_, claims_)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WaveRequest, pool_, epoch_, revision_, vms_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WaveReply,
                                   pool_,
                                   epoch_,
                                   revision_,
                                   running_)

void
to_json(json& aJson, const Goodbye&)
{
  aJson = json::object();
}

void
from_json(const json&, Goodbye&)
{
}

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Depth guard
//-----------------------------------------------------------------------------

// Parses a frame without building it and stops at the first level beyond
// kMaxFrameDepth, because the decoder uses stack for each level.
struct DepthGuard : nlohmann::json_sax<json>
{
  int depth_ = 0;

  bool EnterLevel() { return ++depth_ <= kMaxFrameDepth; }
  bool LeaveLevel()
  {
    --depth_;
    return true;
  }

  // The method names are given by nlohmann::json_sax.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return EnterLevel(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return LeaveLevel(); }
  bool start_array(std::size_t) override { return EnterLevel(); }
  bool end_array() override { return LeaveLevel(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override
  {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)
};

//-----------------------------------------------------------------------------
// [SECTION] Message types by number
//-----------------------------------------------------------------------------

// The type number of a message on the wire is its index in PeerMessage, so new
// types must be appended.
template<std::size_t kIndex = 0>
PeerMessage
DecodeMessage(std::size_t aType, const json& aBody)
{
  if constexpr (kIndex < std::variant_size_v<PeerMessage>) {
    if (aType == kIndex) {
      return aBody.get<std::variant_alternative_t<kIndex, PeerMessage>>();
    }
    return DecodeMessage<kIndex + 1>(aType, aBody);
  } else {
    throw std::out_of_range("unknown message type");
  }
}

Frame
ReadFrame(const json& aJson)
{
  enum Field
  {
    Version,
    Id,
    Incarnation,
    Address,
    DataCentre,
    Type,
    Body,
    FieldCount
  };
  if (!aJson.is_array() || aJson.size() != FieldCount ||
      aJson[Version] != kWireVersion) {
    throw std::out_of_range("not a frame of wire version " +
                            std::to_string(kWireVersion));
  }
  Frame frame;
  aJson[Id].get_to(frame.sender_.id_);
  aJson[Incarnation].get_to(frame.sender_.incarnation_);
  aJson[Address].get_to(frame.sender_.peerAddress_);
  aJson[DataCentre].get_to(frame.sender_.dataCentre_);
  frame.message_ = DecodeMessage(aJson[Type].get<std::size_t>(), aJson[Body]);
  return frame;
}

} // namespace

std::string
EncodeFrame(const Member& aSender, const PeerMessage& aMessage)
{
  json body;
  std::visit([&](const auto& aTyped) { body = aTyped; }, aMessage);
  const json frame = json::array({ kWireVersion,
                                   aSender.id_,
                                   aSender.incarnation_,
                                   aSender.peerAddress_,
                                   aSender.dataCentre_,
                                   aMessage.index(),
                                   std::move(body) });
  std::string bytes;
  json::to_cbor(frame, bytes);
  return bytes;
}

leaf::result<Frame>
DecodeFrame(std::string_view aBytes)
{
  if (aBytes.size() > kMaxFrameBytes) {
    return leaf::new_error("frame of " + std::to_string(aBytes.size()) +
                           " bytes exceeds the limit of " +
                           std::to_string(kMaxFrameBytes));
  }
  try {
    DepthGuard guard;
    if (!json::sax_parse(aBytes, &guard, json::input_format_t::cbor)) {
      return leaf::new_error("frame is not valid CBOR or nests deeper than " +
                             std::to_string(kMaxFrameDepth) + " levels");
    }
    return ReadFrame(json::from_cbor(aBytes));
  } catch (const std::exception& error) {
    return leaf::new_error(std::string(error.what()));
  }
}

} // namespace cuminbridge::forwarder
