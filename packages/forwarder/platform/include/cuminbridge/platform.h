// cuminbridge platform: clients of the store, the VM list and the targets.
//
//   StoreClient store(io, options);
//   store.Read({ call, key, isPrefix }, [](StoreAnswer answer) { ... });
//   store.Swap(swap, [](StoreAnswer answer) { ... });
//
//   VmListClient vms(io, options);
//   vms.ReadChanges([](bool ok, VmListRead list) { ... });
//   vms.Reboot("10.0.0.7", "operation-id", [](bool ok) { ... });
//
//   TargetPool targets(io);
//   auto connection = co_await targets.Acquire("10.0.0.7:9000");
//   ... one exchange ...
//   targets.Release(std::move(connection));   // only if its answer was whole
//
// Every call is answered exactly once, with a timeout. Use all of it on the
// thread that runs the io_context.
//
// Index of this file:
//   [SECTION] Types of the network
//   [SECTION] The store
//   [SECTION] The VM list
//   [SECTION] Targets

#ifndef cuminbridge_platform_h
#define cuminbridge_platform_h

#include <deque>
#include <functional>
#include <unordered_map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "cuminbridge/core.h"

namespace cuminbridge::forwarder {

//-----------------------------------------------------------------------------
// [SECTION] Types of the network
//-----------------------------------------------------------------------------
// Fixed to the io_context's own executor: the general one costs a virtual call
// for each operation.

using Executor = boost::asio::io_context::executor_type;
using Stream = boost::beast::basic_stream<boost::asio::ip::tcp, Executor>;
using Timer = boost::asio::basic_waitable_timer<
  std::chrono::steady_clock,
  boost::asio::wait_traits<std::chrono::steady_clock>,
  Executor>;

template<typename T>
using Awaitable = boost::asio::awaitable<T, Executor>;

// Completion token: co_await gives a tuple that starts with the error code.
inline constexpr auto kAsTuple =
  boost::asio::as_tuple(boost::asio::use_awaitable_t<Executor>{});

// "host:port" with an IP number; the error says what is wrong with it.
boost::asio::ip::tcp::endpoint ParseEndpoint(std::string_view aText,
                                             boost::system::error_code& aError);

// A listening socket on the io_context's own executor.
using Acceptor =
  boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

// Opens a listener at "host:port". Returns what went wrong, or nothing.
std::string OpenListener(Acceptor& aAcceptor, std::string_view aAddress);

//-----------------------------------------------------------------------------
// [SECTION] The store
//-----------------------------------------------------------------------------

struct StoreOptions
{
  std::vector<std::string> addresses_;        // host:port each, tried in turn
  std::chrono::milliseconds timeout_{ 1000 }; // of one call
};

// Calls since the start, by kind.
struct StoreCounts
{
  std::uint64_t reads_ = 0;
  std::uint64_t swaps_ = 0;
  std::uint64_t failures_ = 0;
  std::uint64_t lost_ = 0;
};

// Speaks the etcd v3 JSON gateway: /v3/kv/range and /v3/kv/txn.
class StoreClient
{
public:
  using Handler = std::function<void(StoreAnswer)>;

  StoreClient(boost::asio::io_context& aIo, StoreOptions aOptions);

  void Read(const StoreRead& aRead, Handler aHandler);
  void Swap(const StoreSwap& aSwap, Handler aHandler);

  const StoreCounts& Counts() const { return counts_; }

private:
  struct Reply
  {
    bool isSent_ = false; // some bytes of the call went out
    int status_ = 0;      // HTTP status, 0 if no whole answer came
    std::string body_;
  };

  Awaitable<Reply> Call(std::string aPath, std::string aBody);
  Awaitable<std::unique_ptr<Stream>> Connect();

  boost::asio::io_context& io_;
  StoreOptions options_;
  StoreCounts counts_;
  std::vector<std::unique_ptr<Stream>> idle_;
  std::size_t nextAddress_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] The VM list
//-----------------------------------------------------------------------------

struct VmListOptions
{
  std::string address_; // host:port
  std::chrono::milliseconds timeout_{ 1000 };
};

// Speaks the platform's VM list: GET /v1/vms?since=VERSION gives
// {"version":N,"vms":[{"address","status","data_centre","rack",
// "last_operation"}]}, only what changed after that version; and
// POST /v1/vms/ADDRESS/reboot takes {"operation":ID}.
class VmListClient
{
public:
  VmListClient(boost::asio::io_context& aIo, VmListOptions aOptions);

  void ReadChanges(std::function<void(bool aIsOk, VmListRead aList)> aHandler);
  void Reboot(const std::string& aVm,
              const std::string& aOperation,
              std::function<void(bool aIsOk)> aHandler);

private:
  boost::asio::io_context& io_;
  VmListOptions options_;
  std::int64_t version_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// One upstream connection, for one exchange at a time.
struct TargetConnection
{
  std::string address_;
  std::unique_ptr<Stream> stream_; // null: the target could not be reached
  boost::beast::flat_buffer buffer_;
};

class TargetPool
{
public:
  explicit TargetPool(boost::asio::io_context& aIo);

  // An idle connection that the target has not closed, or a new one.
  Awaitable<TargetConnection> Acquire(std::string aAddress);

  // Keeps a connection for the next exchange. Give back only one whose answer
  // was read whole and that may be kept alive; let others be destroyed.
  void Release(TargetConnection aConnection);

  // Closes connections that have lain idle too long.
  void CloseIdle();

private:
  struct Idle
  {
    TargetConnection connection_;
    std::chrono::steady_clock::time_point since_;
  };

  boost::asio::io_context& io_;
  std::unordered_map<std::string, std::deque<Idle>> idle_;
};

} // namespace cuminbridge::forwarder

#endif // cuminbridge_platform_h
