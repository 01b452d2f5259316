// VmListClient: reads the platform's VM list and requests reboots.

#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include "http_call.h"

namespace cuminbridge::forwarder {

using nlohmann::json;

namespace {

constexpr int kOk = 200;

VmStatus
ReadStatus(const std::string& aText)
{
  if (aText == "live") {
    return VmStatus::Live;
  }
  return aText == "leaving" ? VmStatus::Leaving : VmStatus::Gone;
}

VmState
ReadVm(const json& aJson)
{
  VmState vm;
  vm.address_ = aJson.at("address");
  vm.status_ = ReadStatus(aJson.at("status"));
  vm.dataCentre_ = aJson.value("data_centre", "");
  vm.rack_ = aJson.value("rack", "");
  vm.lastOperation_ = aJson.value("last_operation", "");
  return vm;
}

Awaitable<HttpReply>
CallPlatform(boost::asio::io_context& aIo,
             VmListOptions aOptions,
             boost::beast::http::verb aMethod,
             std::string aPath,
             std::string aBody)
{
  boost::system::error_code error;
  const auto endpoint = ParseEndpoint(aOptions.address_, error);
  Stream stream(aIo.get_executor());
  stream.expires_after(aOptions.timeout_);
  const auto [failed] = co_await stream.async_connect(endpoint, kAsTuple);
  if (error || failed) {
    co_return HttpReply{};
  }
  co_return co_await CallHttp(
    stream, aMethod, std::move(aPath), std::move(aBody));
}

} // namespace

VmListClient::VmListClient(boost::asio::io_context& aIo, VmListOptions aOptions)
  : io_(aIo)
  , options_(std::move(aOptions))
{
}

void
VmListClient::ReadChanges(std::function<void(bool, VmListRead)> aHandler)
{
  using Handler = std::function<void(bool, VmListRead)>;
  boost::asio::co_spawn(
    io_.get_executor(),
    [](VmListClient* aSelf, Handler aDone) -> Awaitable<void> {
      const HttpReply reply = co_await CallPlatform(
        aSelf->io_,
        aSelf->options_,
        boost::beast::http::verb::get,
        "/v1/vms?since=" + std::to_string(aSelf->version_),
        "");
      VmListRead list;
      bool isOk = reply.status_ == kOk;
      if (isOk) {
        try {
          const json body = json::parse(reply.body_);
          for (const json& vm : body.at("vms")) {
            list.changed_.push_back(ReadVm(vm));
          }
          aSelf->version_ = body.at("version");
        } catch (const std::exception&) {
          isOk = false;
          list = {};
        }
      }
      aDone(isOk, std::move(list));
    }(this, std::move(aHandler)),
    [](std::exception_ptr) {});
}

void
VmListClient::Reboot(const std::string& aVm,
                     const std::string& aOperation,
                     std::function<void(bool)> aHandler)
{
  using Handler = std::function<void(bool)>;
  const std::string path = "/v1/vms/" + aVm + "/reboot";
  const std::string body = json({ { "operation", aOperation } }).dump();
  boost::asio::co_spawn(
    io_.get_executor(),
    [](VmListClient* aSelf, std::string aPath, std::string aBody, Handler aDone)
      -> Awaitable<void> {
      const HttpReply reply =
        co_await CallPlatform(aSelf->io_,
                              aSelf->options_,
                              boost::beast::http::verb::post,
                              std::move(aPath),
                              std::move(aBody));
      aDone(reply.status_ == kOk);
    }(this, path, body, std::move(aHandler)),
    [](std::exception_ptr) {});
}

} // namespace cuminbridge::forwarder
