// cuminbridge web: an HTTP/1.1 client and server, on Boost.Beast.
//
//   HttpClient client(io, HttpClientOptions{});
//   auto reply = co_await client.Call("10.0.0.7:9000", std::move(call));
//   if (reply.IsAnswered() && reply.status_ == 200) { ... reply.body_ ... }
//
//   HttpServer server(io, options, [](const HttpRequest& request)
//                       -> Awaitable<HttpResponse> { ... });
//   auto error = server.Open("10.0.0.7:8340");
//   server.BeginDrain();   // each response from now on closes its connection
//   if (server.IsIdle()) { ... no request is being answered ... }
//
// Everything runs on the one thread of the io_context. Each call ends within
// its time limits. Connections are kept and reused; a connection is closed when
// the response to a call did not arrive whole.
//
// Index of this file:
//   [SECTION] Client
//   [SECTION] Server

#ifndef cuminbridge_web_h
#define cuminbridge_web_h

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cuminbridge {

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

// Asked when a call is about to leave: it may have waited for a connection, or
// its process may have been held up.
using MaySend = std::function<bool()>;

struct HttpCall
{
  std::string method_ = "GET";
  std::string path_; // with the query, as "/path?key=value"
  std::string body_; // JSON; empty sends no body
  HttpHeaders headers_;
  // For the whole call, or, with stallLimit_, until its answer begins.
  std::chrono::milliseconds limit_{ 1000 };
  // If it is not 0, a call goes on beyond limit_ for as long as bytes come or
  // go at least this often. For large bodies over links of unknown rate.
  std::chrono::milliseconds stallLimit_{ 0 };
  // Does not wait for a connection while all allowed ones to the address are in
  // use, but opens one more.
  bool isUrgent_ = false;
  MaySend maySend_; // if it is set and returns false, the call is not sent
  // A call with a larger response ends as lost.
  std::uint64_t maxReplyBytes_ = 64ULL * 1024 * 1024;
  const char* kind_ = "other"; // under which HttpClient counts it; a literal
};

// What the calls of one kind have cost since the client was created. Bytes are
// those of requests and responses with their headers, without those of TCP.
struct TrafficCount
{
  std::uint64_t calls_ = 0;
  std::uint64_t connections_ = 0; // opened for them
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;

  bool operator==(const TrafficCount&) const = default;
};

using Traffic = std::map<std::string, TrafficCount, std::less<>>; // by kind

// Adds the counts of aMore to those of aSum.
void AddUp(Traffic& aSum, const Traffic& aMore);

// The outcome of a call. Only after Refused and NotSent is it safe to send the
// call again although it is not idempotent.
enum class CallOutcome
{
  Answered, // a whole response arrived
  Refused,  // no process listens at the address: the call was not sent
  NotSent,  // no connection in time, or HttpCall::maySend_ refused
  Lost,     // no whole response: it may have been carried out, or will be
};

struct HttpReply
{
  CallOutcome outcome_ = CallOutcome::NotSent;
  int status_ = 0; // HTTP status; 0 unless answered
  std::string body_;

  bool IsAnswered() const { return outcome_ == CallOutcome::Answered; }
};

struct HttpClientOptions
{
  std::size_t maxConnections_ = 24; // in use at once, for each address
  std::chrono::milliseconds connectTimeout_{ 300 };
  std::chrono::seconds idleTimeout_{ 60 };  // then unused ones are closed
  std::chrono::seconds sweepInterval_{ 5 }; // between checks for unused ones
};

class HttpClient
{
public:
  HttpClient(boost::asio::io_context& aIo, HttpClientOptions aOptions);
  ~HttpClient();

  // Sends one call. Waits for a connection if all to the address are in use.
  Awaitable<HttpReply> Call(std::string aAddress, HttpCall aCall);

  // Closes the idle connections to an address, as when it is unresponsive.
  void CloseIdleConnections(const std::string& aAddress);

  // Addresses with a connection in use or idle, or a call that waits for one.
  std::size_t CountAddresses() const { return pools_.size(); }

  const Traffic& GetTraffic() const { return traffic_; }

private:
  struct Pool;

  // Closes connections that the peer has closed or that were idle for too long,
  // and removes pools without connections: addresses of targets that are gone
  // are never called again, so no later call would do it.
  void Sweep();

  boost::asio::io_context& io_;
  HttpClientOptions options_;
  std::chrono::steady_clock::time_point nextSweep_;
  std::unordered_map<std::string, std::shared_ptr<Pool>> pools_;
  Traffic traffic_;
};

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

struct HttpRequest
{
  std::string method_;
  std::string path_;
  std::string host_;
  std::string body_;
  HttpHeaders headers_;

  // The value of a header, empty if it is missing. The case of aName does not
  // matter.
  std::string_view Header(std::string_view aName) const;
};

struct HttpResponse
{
  int status_ = 200;
  std::string body_; // of type contentType_; empty sends no body
  HttpHeaders headers_;
  std::string contentType_ = "application/json";
};

// Limits of one server. They bound what clients that don't behave can take from
// the process: memory, descriptors and time.
struct HttpServerOptions
{
  std::uint64_t maxBodyBytes_ = 1024 * 1024; // larger requests get status 413
  std::uint32_t maxHeadBytes_ = 8192;        // larger heads get status 431
  std::size_t maxHeadFields_ = 100;          // as do those with more fields
  // Of all connections, in requests being read or answered and in unread
  // answers. Beyond it the connection that has gone without a whole request for
  // longest is closed; if that makes no room, the request gets status 503.
  std::size_t maxBytesInFlight_ = 64UL * 1024 * 1024;
  std::chrono::seconds idleTimeout_{ 60 }; // between two requests
  // From the first byte of a request to its last one, and for each
  // minBytesPerSecond_ of its body one second more.
  std::chrono::seconds requestTime_{ 10 };
  std::size_t minBytesPerSecond_ = 16UL * 1024;
  std::chrono::seconds answerTime_{ 20 }; // for the peer to read an answer
  // For a newer connection, the one that has gone without a whole request for
  // longest is closed.
  std::size_t maxConnections_ = 2000;
  std::size_t maxConnectionsPerPeer_ =
    0;                         // further ones are closed; 0: no limit
  int receiveBufferBytes_ = 0; // of each socket; 0: the system's default
};

// Why a server refused a request or closed a connection.
enum class LimitCause
{
  Connections,     // for a newer connection
  PeerConnections, // too many of one address
  Memory,          // too many bytes in flight
  HeadSize,
  BodySize,
  SlowRequest,
  UnreadAnswer,
};

inline constexpr std::size_t kLimitCauses = 7;
using LimitCounts = std::array<std::uint64_t, kLimitCauses>; // by LimitCause
const char* NameOf(LimitCause aCause); // as "unread_answer"

class HttpServer
{
public:
  using Handler = std::function<Awaitable<HttpResponse>(const HttpRequest&)>;

  HttpServer(boost::asio::io_context& aIo,
             HttpServerOptions aOptions,
             Handler aHandler);
  ~HttpServer();

  // Listens at "host:port". Returns an error message, empty on success.
  std::string Open(const std::string& aAddress);

  // From now on each response closes its connection.
  void BeginDrain();

  // Stops listening and closes the connections that have no request in
  // progress.
  void CloseIdle();

  // True while no request is being answered.
  bool IsIdle() const;

  // Connections that are open keep their receive buffers.
  void SetOptions(const HttpServerOptions& aOptions);
  const LimitCounts& Limits() const; // since the server was created

private:
  struct State;

  std::shared_ptr<State> state_;
};

// Parses "address:port" with a numeric IP address. The result has port 0 if the
// text can't be parsed.
boost::asio::ip::tcp::endpoint ReadEndpoint(std::string_view aText);

} // namespace cuminbridge

#endif // cuminbridge_web_h
