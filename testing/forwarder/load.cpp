// Load generator for one address. Each connection sends its requests in turn.
//
//   load HOST:PORT PATH CONNECTIONS REQUESTS [RATE] [HEADER...]
//
// RATE is in requests a second over all connections; 0 means unlimited. Each
// request has its own X-Job. Prints one line of JSON: number of answers by
// status, requests without a whole answer (cut), answers with the outcome
// "not-run", median and 99th percentile of the answer time in microseconds, and
// answers a second. SIGINT ends the load early, after the requests in progress.

#include <algorithm>
#include <iostream>
#include <map>

#include <boost/asio/signal_set.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "cuminbridge/platform.h"

namespace {

using namespace cuminbridge::forwarder;
namespace http = boost::beast::http;
using SteadyClock = std::chrono::steady_clock;

struct Load
{
  boost::asio::io_context io_{ 1 };
  std::string address_;
  std::string path_;
  int left_ = 0; // requests still to be sent, over all connections
  int nextJob_ = 0;
  std::chrono::nanoseconds interval_{ 0 }; // between a connection's requests
  std::vector<std::string> headers_;
  std::map<std::string, int> statuses_; // number of answers by status
  int cut_ = 0; // requests without a whole answer, also without a connection
  int notRun_ = 0;
  std::vector<double> microseconds_; // time of each answered request
  int running_ = 0;                  // connections that still send requests
  std::function<void()> onDone_;

  http::request<http::empty_body> Next()
  {
    constexpr unsigned kHttp11 = 11;
    http::request<http::empty_body> request(http::verb::get, path_, kHttp11);
    request.set(http::field::host, address_);
    request.set("X-Job", std::to_string(nextJob_++));
    for (const std::string& header : headers_) {
      const auto colon = header.find(": ");
      request.set(header.substr(0, colon), header.substr(colon + 2));
    }
    return request;
  }

  Awaitable<std::unique_ptr<Stream>> Connect()
  {
    boost::system::error_code error;
    auto stream = std::make_unique<Stream>(io_.get_executor());
    const auto endpoint = ParseEndpoint(address_, error);
    const auto [failed] = co_await stream->async_connect(endpoint, kAsTuple);
    if (failed) {
      co_return nullptr;
    }
    stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
    co_return stream;
  }

  Awaitable<void> Run()
  {
    std::unique_ptr<Stream> stream;
    boost::beast::flat_buffer buffer;
    Timer timer(io_.get_executor());
    auto due = SteadyClock::now();
    while (left_-- > 0) {
      if (!stream) {
        stream = co_await Connect();
        buffer.clear();
      }
      if (!stream) {
        ++cut_;
        continue;
      }
      const auto from = SteadyClock::now();
      const auto request = Next();
      co_await http::async_write(*stream, request, kAsTuple);
      http::response<http::string_body> response;
      const auto [error, got] =
        co_await http::async_read(*stream, buffer, response, kAsTuple);
      if (error) {
        ++cut_;
        stream.reset();
        continue;
      }
      const std::chrono::duration<double, std::micro> took =
        SteadyClock::now() - from;
      microseconds_.push_back(took.count());
      ++statuses_[std::to_string(response.result_int())];
      notRun_ += response["Cuminbridge-Outcome"] == "not-run" ? 1 : 0;
      if (!response.keep_alive()) {
        stream.reset();
      }
      if (interval_.count() > 0) {
        due += std::chrono::duration_cast<SteadyClock::duration>(interval_);
        timer.expires_at(due);
        co_await timer.async_wait(kAsTuple);
      }
    }
    if (--running_ == 0) {
      onDone_();
    }
  }
};

double
Quantile(std::vector<double>& aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
    aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<std::size_t>(index)];
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc < 5) {
    std::cerr
      << "usage: load HOST:PORT PATH CONNECTIONS REQUESTS [RATE] [HEADER...]\n";
    return 2;
  }
  Load load;
  load.address_ = argv[1];
  load.path_ = argv[2];
  const int connections = std::atoi(argv[3]);
  load.left_ = std::atoi(argv[4]);
  const double rate = argc > 5 ? std::atof(argv[5]) : 0;
  if (rate > 0) {
    load.interval_ = std::chrono::nanoseconds(
      static_cast<std::int64_t>(1e9 * connections / rate));
  }
  for (int i = 6; i < argc; ++i) {
    load.headers_.emplace_back(argv[i]);
  }
  boost::asio::signal_set signals(load.io_, SIGINT);
  signals.async_wait([&](const auto& aError, int) {
    if (!aError) {
      load.left_ = 0; // requests in progress are finished
    }
  });
  load.running_ = connections;
  load.onDone_ = [&] { signals.cancel(); };
  const auto from = SteadyClock::now();
  for (int i = 0; i < connections; ++i) {
    boost::asio::co_spawn(
      load.io_.get_executor(), load.Run(), [](std::exception_ptr) {});
  }
  load.io_.run();
  const std::chrono::duration<double> took = SteadyClock::now() - from;
  const std::size_t count = load.microseconds_.size();
  std::cout << nlohmann::json(
                 { { "statuses", load.statuses_ },
                   { "cut", load.cut_ },
                   { "not_run", load.notRun_ },
                   { "p50_us", Quantile(load.microseconds_, 0.5) },
                   { "p99_us", Quantile(load.microseconds_, 0.99) },
                   { "per_second",
                     static_cast<double>(count) / took.count() } })
                 .dump()
            << "\n";
  return 0;
}
