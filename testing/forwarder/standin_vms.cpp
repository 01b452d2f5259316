// Stand-in for the platform's VM list.
//
//   standin_vms 127.0.0.1:8500
//
// PUT /v1/vms  [{"address","status","data_centre","rack"}]  sets VMs
// GET /v1/vms?since=VERSION                                 VMs changed since
// POST /v1/vms/ADDRESS/reboot {"operation":ID}              reboots the VM,
//                                                           unless ID was its
//                                                           last operation
// GET /stats                                                number of reboots

#include <iostream>
#include <map>

#include <nlohmann/json.hpp>

#include "standin_server.h"

namespace {

using cuminbridge::forwarder::StandinAnswer;
using cuminbridge::forwarder::StandinRequest;
using nlohmann::json;

struct VmList
{
  std::map<std::string, json> vms_; // by address, each with its "version"
  std::int64_t version_ = 0;
  int reboots_ = 0;

  void Set(const json& aVm)
  {
    json& vm = vms_[aVm.at("address")];
    vm.update(aVm);
    vm["version"] = ++version_;
  }

  StandinAnswer Changes(std::int64_t aSince) const
  {
    json changed = json::array();
    for (const auto& [address, vm] : vms_) {
      if (vm.at("version") > aSince) {
        changed.push_back(vm);
      }
    }
    return { 200,
             json({ { "version", version_ }, { "vms", changed } }).dump(),
             0,
             false };
  }

  StandinAnswer Reboot(const std::string& aAddress, const json& aBody)
  {
    const auto vm = vms_.find(aAddress);
    if (vm == vms_.end()) {
      return { 404, "{}", 0, false };
    }
    if (vm->second.value("last_operation", "") != aBody.at("operation")) {
      ++reboots_;
      Set({ { "address", aAddress },
            { "last_operation", aBody.at("operation") } });
    }
    return { 200, "{}", 0, false };
  }

  StandinAnswer Handle(const StandinRequest& aRequest)
  {
    const std::string prefix = "/v1/vms";
    if (aRequest.target_ == "/stats") {
      return { 200, json({ { "reboots", reboots_ } }).dump(), 0, false };
    }
    if (aRequest.method_ == "PUT") {
      for (const json& vm : json::parse(aRequest.body_)) {
        Set(vm);
      }
      return { 200, "{}", 0, false };
    }
    if (aRequest.method_ == "GET") {
      const auto at = aRequest.target_.find("since=");
      const std::int64_t since =
        at == std::string::npos ? 0
                                : std::stoll(aRequest.target_.substr(at + 6));
      return Changes(since);
    }
    const auto end = aRequest.target_.rfind("/reboot");
    const auto from = prefix.size() + 1;
    return Reboot(aRequest.target_.substr(from, end - from),
                  json::parse(aRequest.body_));
  }
};

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: standin_vms HOST:PORT\n";
    return 2;
  }
  VmList list;
  return cuminbridge::forwarder::RunStandin(
    argv[1], [&](const StandinRequest& aRequest) {
      try {
        return list.Handle(aRequest);
      } catch (const std::exception&) {
        return StandinAnswer{ 400, "{}", 0, false };
      }
    });
}
