// PeerLinks with websocketpp. Compiled as C++17; see link.h for the reason.

#include "cuminbridge/link.h"

#include <algorithm>
#include <chrono>
#include <map>

#include <boost/asio/steady_timer.hpp>
#include <openssl/crypto.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace cuminbridge::forwarder {

namespace {

using Client = websocketpp::client<websocketpp::config::asio_client>;
using Server = websocketpp::server<websocketpp::config::asio>;
using Handle = websocketpp::connection_hdl;

// Reconnection back-off: doubles from the first to the second value.
constexpr std::chrono::milliseconds kMinRedialDelay(100);
constexpr std::chrono::milliseconds kMaxRedialDelay(2000);

enum class LinkState
{
  Down,
  Dialling,
  Open,
};

// A connection that this entry opens to a peer.
struct Link
{
  LinkState state_ = LinkState::Down;
  Handle handle_;        // valid while Open
  bool isWanted_ = true; // false: do not reconnect, forget it when down
  std::chrono::milliseconds redialDelay_ = kMinRedialDelay; // next back-off
  std::unique_ptr<boost::asio::steady_timer> redialTimer_;
};

// Compares in constant time, so that timing does not reveal the credential.
bool
IsEqualConstantTime(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

template<typename Endpoint>
void
DisableLogging(Endpoint& aEndpoint)
{
  aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
}

} // namespace

struct PeerLinks::Impl : std::enable_shared_from_this<PeerLinks::Impl>
{
  boost::asio::io_context& io_;
  LinkOptions options_;
  FrameHandler onFrame_;
  Client client_;
  Server server_;
  std::map<std::string, Link> links_; // by address
  std::map<Handle, bool, std::owner_less<Handle>> accepted_;
  LinkCounts counts_;
  bool isClosed_ = false;

  Impl(boost::asio::io_context& aIo,
       LinkOptions aOptions,
       FrameHandler aOnFrame)
    : io_(aIo)
    , options_(std::move(aOptions))
    , onFrame_(std::move(aOnFrame))
  {
    DisableLogging(client_);
    DisableLogging(server_);
    client_.init_asio(&io_);
    server_.init_asio(&io_);
    server_.set_reuse_addr(true);
    server_.set_max_message_size(options_.maxFrameBytes_);
  }

  std::string Authorization() const { return "Bearer " + options_.credential_; }

  //---------------------------------------------------------------------------
  // Accepted connections: this entry only reads from them
  //---------------------------------------------------------------------------

  bool IsAuthorized(Handle aHandle)
  {
    if (options_.credential_.empty()) {
      return true;
    }
    const auto connection = server_.get_con_from_hdl(std::move(aHandle));
    return IsEqualConstantTime(connection->get_request_header("Authorization"),
                               Authorization());
  }

  void SetServerHandlers()
  {
    server_.set_validate_handler(
      [this](const Handle& aHandle) { return IsAuthorized(aHandle); });
    server_.set_open_handler(
      [this](const Handle& aHandle) { accepted_[aHandle] = true; });
    server_.set_close_handler(
      [this](const Handle& aHandle) { accepted_.erase(aHandle); });
    server_.set_message_handler(
      [this](const Handle&, const Server::message_ptr& aMessage) {
        ++counts_.receivedFrames_;
        counts_.receivedBytes_ += aMessage->get_payload().size();
        if (!isClosed_) {
          onFrame_(aMessage->get_payload());
        }
      });
  }

  std::string Listen()
  {
    SetServerHandlers();
    const auto colon = options_.listenAddress_.rfind(':');
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(
      options_.listenAddress_.substr(0, colon), error);
    if (error) {
      return error.message();
    }
    const int port = std::stoi(options_.listenAddress_.substr(colon + 1));
    websocketpp::lib::error_code listenError;
    server_.listen(boost::asio::ip::tcp::endpoint(
                     address, static_cast<unsigned short>(port)),
                   listenError);
    if (listenError) {
      return listenError.message();
    }
    server_.start_accept(listenError);
    return listenError ? listenError.message() : "";
  }

  //---------------------------------------------------------------------------
  // Dialled connections: this entry only writes to them
  //---------------------------------------------------------------------------

  void OnLinkDown(const std::string& aAddress)
  {
    const auto found = links_.find(aAddress);
    if (found == links_.end() || isClosed_) {
      return;
    }
    Link& link = found->second;
    link.state_ = LinkState::Down;
    if (!link.isWanted_) {
      links_.erase(found);
      return;
    }
    link.redialTimer_ = std::make_unique<boost::asio::steady_timer>(io_);
    link.redialTimer_->expires_after(link.redialDelay_);
    link.redialDelay_ = std::min(2 * link.redialDelay_, kMaxRedialDelay);
    const std::weak_ptr<Impl> self = shared_from_this();
    link.redialTimer_->async_wait(
      [self, aAddress](const boost::system::error_code& aError) {
        const auto impl = self.lock();
        if (impl && !aError) {
          impl->Dial(aAddress);
        }
      });
  }

  void OnLinkOpen(const std::string& aAddress, const Handle& aHandle)
  {
    const auto found = links_.find(aAddress);
    if (found == links_.end()) {
      return;
    }
    found->second.state_ = LinkState::Open;
    found->second.handle_ = aHandle;
    found->second.redialDelay_ = kMinRedialDelay;
  }

  void Dial(const std::string& aAddress)
  {
    const auto found = links_.find(aAddress);
    if (isClosed_ || found == links_.end() ||
        found->second.state_ != LinkState::Down) {
      return;
    }
    found->second.state_ = LinkState::Dialling;
    const std::weak_ptr<Impl> self = shared_from_this();
    websocketpp::lib::error_code error;
    const auto connection =
      client_.get_connection("ws://" + aAddress + "/peer", error);
    if (error) {
      OnLinkDown(aAddress);
      return;
    }
    connection->append_header("Authorization", Authorization());
    connection->set_open_handler([self, aAddress](const Handle& aHandle) {
      if (const auto impl = self.lock()) {
        impl->OnLinkOpen(aAddress, aHandle);
      }
    });
    const auto onDown = [self, aAddress](const Handle&) {
      if (const auto impl = self.lock()) {
        impl->OnLinkDown(aAddress);
      }
    };
    connection->set_fail_handler(onDown);
    connection->set_close_handler(onDown);
    client_.connect(connection);
  }

  void CloseLink(Link& aLink)
  {
    aLink.isWanted_ = false;
    if (aLink.state_ == LinkState::Open) {
      websocketpp::lib::error_code ignored;
      client_.close(
        aLink.handle_, websocketpp::close::status::going_away, "", ignored);
    }
  }

  void SetPeers(const std::vector<std::string>& aAddresses)
  {
    for (auto it = links_.begin(); it != links_.end();) {
      const bool isWanted =
        std::find(aAddresses.begin(), aAddresses.end(), it->first) !=
        aAddresses.end();
      it->second.isWanted_ = isWanted;
      if (!isWanted && it->second.state_ == LinkState::Down) {
        it = links_.erase(it);
        continue;
      }
      if (!isWanted) {
        CloseLink(it->second);
      }
      ++it;
    }
    for (const std::string& address : aAddresses) {
      if (links_.try_emplace(address).second) {
        Dial(address);
      }
    }
  }

  bool Send(const std::string& aAddress, const std::string& aBytes)
  {
    if (links_.try_emplace(aAddress).second) {
      Dial(aAddress);
    }
    const Link& link = links_.at(aAddress);
    if (link.state_ != LinkState::Open) {
      ++counts_.droppedFrames_;
      return false;
    }
    websocketpp::lib::error_code error;
    const auto connection = client_.get_con_from_hdl(link.handle_, error);
    if (error ||
        connection->get_buffered_amount() > options_.maxBufferedBytes_) {
      ++counts_.droppedFrames_;
      return false;
    }
    error = connection->send(aBytes, websocketpp::frame::opcode::binary);
    if (error) {
      ++counts_.droppedFrames_;
      return false;
    }
    ++counts_.sentFrames_;
    counts_.sentBytes_ += aBytes.size();
    return true;
  }

  void Close()
  {
    isClosed_ = true;
    websocketpp::lib::error_code ignored;
    if (server_.is_listening()) {
      server_.stop_listening(ignored);
    }
    for (const auto& [handle, isOpen] : accepted_) {
      server_.close(
        handle, websocketpp::close::status::going_away, "", ignored);
    }
    for (auto& [address, link] : links_) {
      link.redialTimer_.reset();
      CloseLink(link);
    }
  }
};

PeerLinks::PeerLinks(boost::asio::io_context& aIo,
                     LinkOptions aOptions,
                     FrameHandler aOnFrame)
  : impl_(std::make_shared<Impl>(aIo, std::move(aOptions), std::move(aOnFrame)))
{
}

PeerLinks::~PeerLinks() = default;

std::string
PeerLinks::Listen()
{
  return impl_->Listen();
}

void
PeerLinks::SetPeers(const std::vector<std::string>& aAddresses)
{
  impl_->SetPeers(aAddresses);
}

bool
PeerLinks::Send(const std::string& aAddress, const std::string& aBytes)
{
  return impl_->Send(aAddress, aBytes);
}

void
PeerLinks::Close()
{
  impl_->Close();
}

LinkCounts
PeerLinks::Counts() const
{
  return impl_->counts_;
}

} // namespace cuminbridge::forwarder
