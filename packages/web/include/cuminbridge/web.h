// cuminbridge web: HTTP/1.1 calls out and requests in, on Boost.Beast.
//
//   HttpClient client(io, HttpClientOptions{});
//   auto reply = co_await client.Call("10.0.0.7:9000", std::move(call));
//   if (reply.IsAnswered() && reply.status_ == 200) { ... reply.body_ ... }
//
//   HttpServer server(io, options, [](const HttpRequest& request)
//                       -> Awaitable<HttpAnswer> { ... });
//   auto error = server.Open("10.0.0.7:8340");
//   server.BeginDrain();   // answers still go out, each closes its connection
//   server.IsIdle()
//
// Everything runs on the one thread of the io_context. Each call ends within
// its time limit. Connections are kept and used again; one whose answer did not
// come whole is closed.
//
// Index of this file:
//   [SECTION] Calls
//   [SECTION] Requests

#ifndef cuminbridge_web_h
#define cuminbridge_web_h

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
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
// [SECTION] Calls
//-----------------------------------------------------------------------------

struct HttpCall
{
  std::string method_ = "GET";
  std::string path_; // with its query
  std::string body_; // JSON; empty sends none
  HttpHeaders headers_;
  std::chrono::milliseconds limit_{ 1000 }; // connecting included
};

// What became of a call.
enum class CallOutcome
{
  Answered, // a whole answer came
  Refused,  // no process listens at the address: the call did not arrive
  NotSent,  // no connection came about: the call did not arrive
  Lost,     // no whole answer: it may have been carried out, now or later
};

struct HttpReply
{
  CallOutcome outcome_ = CallOutcome::NotSent;
  int status_ = 0;
  std::string body_;

  bool IsAnswered() const { return outcome_ == CallOutcome::Answered; }
};

struct HttpClientOptions
{
  std::size_t maxConnections_ = 24; // to one address, in use at once
  std::chrono::milliseconds connectLimit_{ 300 };
  std::chrono::seconds idleLimit_{ 60 }; // an unused connection is closed then
  std::chrono::seconds sweepInterval_{ 5 }; // between looks for such ones
};

class HttpClient
{
public:
  HttpClient(boost::asio::io_context& aIo, HttpClientOptions aOptions);
  ~HttpClient();

  Awaitable<HttpReply> Call(std::string aAddress, HttpCall aCall);

  // Closes the idle connections to an address, as when it went silent.
  void Forget(const std::string& aAddress);

  // Addresses with a connection, in use or idle.
  std::size_t CountAddresses() const { return pools_.size(); }

private:
  struct Pool;

  // Drops connections that the other side has closed or that were idle for too
  // long, as addresses of targets that are gone are never called again.
  void Sweep();

  boost::asio::io_context& io_;
  HttpClientOptions options_;
  std::chrono::steady_clock::time_point nextSweep_;
  std::unordered_map<std::string, std::shared_ptr<Pool>> pools_;
};

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

struct HttpRequest
{
  std::string method_;
  std::string path_;
  std::string host_;
  std::string body_;
  HttpHeaders headers_;

  // The value of a header, empty if it is missing. Names match in any case.
  std::string_view Header(std::string_view aName) const;
};

struct HttpAnswer
{
  int status_ = 200;
  std::string body_; // JSON unless the type says otherwise
  HttpHeaders headers_;
  std::string type_ = "application/json";
};

struct HttpServerOptions
{
  std::uint64_t maxBody_ = 1024 * 1024; // bytes; larger ones are answered 413
  std::chrono::seconds idleLimit_{ 60 };
  std::size_t maxConnections_ = 2000; // further ones wait to be accepted
};

class HttpServer
{
public:
  using Handler = std::function<Awaitable<HttpAnswer>(const HttpRequest&)>;

  HttpServer(boost::asio::io_context& aIo,
             HttpServerOptions aOptions,
             Handler aHandler);
  ~HttpServer();

  // Returns what went wrong, or nothing.
  std::string Open(const std::string& aAddress);

  // From now on each answer closes its connection.
  void BeginDrain();

  // Closes the listener and the connections that are between requests.
  void CloseIdle();

  // True while no request is being answered.
  bool IsIdle() const;

private:
  struct State;

  std::shared_ptr<State> state_;
};

// "host:port" with an IP number; port 0 if it cannot be read.
boost::asio::ip::tcp::endpoint ReadEndpoint(std::string_view aText);

} // namespace cuminbridge

#endif // cuminbridge_web_h
