// JSON form of the values that are stored or sent between entries.

#include <nlohmann/json.hpp>

#include "cuminbridge/model.h"

namespace cuminbridge::forwarder {

using nlohmann::json;

void
to_json(json& aJson, const PoolConfig& aPool)
{
  aJson = { { "name", aPool.name_ },
            { "vms", aPool.vms_ },
            { "min_available", aPool.minAvailable_ },
            { "open", aPool.open_ },
            { "old", aPool.scheduler_ == Scheduler::Old },
            { "round", aPool.round_ },
            { "changed_in", aPool.changedIn_ } };
}

void
from_json(const json& aJson, PoolConfig& aPool)
{
  aJson.at("name").get_to(aPool.name_);
  aJson.at("vms").get_to(aPool.vms_);
  aJson.at("min_available").get_to(aPool.minAvailable_);
  aJson.at("open").get_to(aPool.open_);
  aPool.scheduler_ =
    aJson.at("old").get<bool>() ? Scheduler::Old : Scheduler::Cuminbridge;
  aJson.at("changed_in").get_to(aPool.changedIn_);
  aJson.at("round").get_to(aPool.round_);
}

void
to_json(json& aJson, const AccountConfig& aAccount)
{
  aJson = { { "name", aAccount.name_ },
            { "keys", aAccount.keys_ },
            { "share", aAccount.share_ },
            { "limit", aAccount.limit_ },
            { "changed_in", aAccount.changedIn_ },
            { "lowered_in", aAccount.loweredIn_ } };
}

void
from_json(const json& aJson, AccountConfig& aAccount)
{
  aJson.at("name").get_to(aAccount.name_);
  aJson.at("keys").get_to(aAccount.keys_);
  aJson.at("share").get_to(aAccount.share_);
  aJson.at("limit").get_to(aAccount.limit_);
  aJson.at("changed_in").get_to(aAccount.changedIn_);
  aJson.at("lowered_in").get_to(aAccount.loweredIn_);
}

void
to_json(json& aJson, const Member& aMember)
{
  aJson = { { "id", aMember.id_ },
            { "incarnation", aMember.incarnation_ },
            { "peer_address", aMember.peerAddress_ },
            { "data_centre", aMember.dataCentre_ },
            { "voter", aMember.isVoter_ } };
}

void
from_json(const json& aJson, Member& aMember)
{
  aJson.at("id").get_to(aMember.id_);
  aJson.at("incarnation").get_to(aMember.incarnation_);
  aJson.at("peer_address").get_to(aMember.peerAddress_);
  aJson.at("data_centre").get_to(aMember.dataCentre_);
  aJson.at("voter").get_to(aMember.isVoter_);
}

} // namespace cuminbridge::forwarder
