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
//   TargetConnectionPool targets(io);
//   auto connection = co_await targets.Acquire("10.0.0.7:9000");
//   ... one exchange ...
//   targets.Release(std::move(connection));   // only after a complete answer
//
// Every call invokes its handler exactly once; a timeout bounds its I/O. Not
// thread-safe: use all of it on the thread that runs the io_context.
//
// Index of this file:
//   [SECTION] Network types
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
// [SECTION] Network types
//-----------------------------------------------------------------------------
// These use the io_context's executor type and not any_io_executor, which
// costs a virtual call for each operation.

using Executor = boost::asio::io_context::executor_type;
using Stream = boost::beast::basic_stream<boost::asio::ip::tcp, Executor>;
using Timer = boost::asio::basic_waitable_timer<
  std::chrono::steady_clock,
  boost::asio::wait_traits<std::chrono::steady_clock>,
  Executor>;

template<typename T>
using Awaitable = boost::asio::awaitable<T, Executor>;

// Completion token: co_await returns a tuple whose first element is the error
// code.
inline constexpr auto kAsTuple =
  boost::asio::as_tuple(boost::asio::use_awaitable_t<Executor>{});

// Parses "host:port" with an IP number as host. Sets aError on failure.
boost::asio::ip::tcp::endpoint ParseEndpoint(std::string_view aText,
                                             boost::system::error_code& aError);

// A listening socket on the io_context's own executor.
using Acceptor =
  boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

// Opens a listener at "host:port". Returns an error message, or "".
std::string OpenListener(Acceptor& aAcceptor, std::string_view aAddress);

//-----------------------------------------------------------------------------
// [SECTION] The store
//-----------------------------------------------------------------------------

struct StoreOptions
{
  std::vector<std::string> addresses_; // host:port each, tried in this order
  std::chrono::milliseconds timeout_{ 1000 }; // per connection and its call
};

// Counts since the process started.
struct StoreCounts
{
  std::uint64_t reads_ = 0;
  std::uint64_t swaps_ = 0;
  std::uint64_t failures_ = 0; // failed reads, and swaps that were not executed
  std::uint64_t lost_ = 0;     // swaps whose outcome is unknown
};

// Client of the etcd v3 JSON gateway: /v3/kv/range and /v3/kv/txn.
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
    bool isSent_ = false; // some bytes of the request were sent
    int status_ = 0;      // HTTP status; 0: no complete answer arrived
    std::string body_;
  };

  Awaitable<Reply> Call(std::string aPath, std::string aBody);
  Awaitable<std::unique_ptr<Stream>> Connect();

  boost::asio::io_context& io_;
  StoreOptions options_;
  StoreCounts counts_;
  std::vector<std::unique_ptr<Stream>> idle_; // open connections, for reuse
  std::size_t nextAddress_ =
    0; // address in use; advances when connecting fails
};

//-----------------------------------------------------------------------------
// [SECTION] The VM list
//-----------------------------------------------------------------------------

struct VmListOptions
{
  std::string address_; // host:port
  std::chrono::milliseconds timeout_{ 1000 };
};

// Client of the platform's VM list. GET /v1/vms?since=VERSION answers
// {"version":N,"vms":[{"address","status","data_centre","rack",
// "last_operation"}]} with the VMs that changed after that version.
// POST /v1/vms/ADDRESS/reboot takes {"operation":ID}.
class VmListClient
{
public:
  VmListClient(boost::asio::io_context& aIo, VmListOptions aOptions);

  // Reads what changed since the last successful call; first the whole list.
  void ReadChanges(std::function<void(bool aIsOk, VmListRead aList)> aHandler);

  // aIsOk is true if the platform accepted the reboot.
  void Reboot(const std::string& aVm,
              const std::string& aOperation,
              std::function<void(bool aIsOk)> aHandler);

private:
  boost::asio::io_context& io_;
  VmListOptions options_;
  std::int64_t version_ = 0; // of the list as last read; 0: never read
};

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// A connection to a target. It carries one exchange at a time.
struct TargetConnection
{
  std::string address_;            // host:port
  std::unique_ptr<Stream> stream_; // null: connecting to the target failed
  boost::beast::flat_buffer buffer_;
};

// Keeps idle connections to targets for reuse.
class TargetConnectionPool
{
public:
  explicit TargetConnectionPool(boost::asio::io_context& aIo);

  // Returns an idle connection that the target has not closed, or a new one.
  Awaitable<TargetConnection> Acquire(std::string aAddress);

  // Keeps a connection for the next exchange. Release it only if its answer was
  // read completely and HTTP allows keep-alive; else destroy it.
  void Release(TargetConnection aConnection);

  // Closes connections that have been idle for more than 30 s.
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
