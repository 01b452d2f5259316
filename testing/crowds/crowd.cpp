// What each sort of client sends.

#include "crowd.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cuminbridge::crowds {

namespace asio = boost::asio;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBody = 262144; // the largest legal body
constexpr std::size_t kMissing = 8; // bytes that a body stops short of its end
constexpr std::chrono::milliseconds kSendLimit(1500); // for each client
constexpr std::chrono::milliseconds kSlow(20);

std::string
Length(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes) + "\r\n";
}

// A job whose every field has the wrong type, so that its answer is long.
std::string
WrongJob()
{
  static const std::string kStep =
    R"({"count":[],"cpu":[],"mem_mb":[],"gpu":[],"estimate_ms":[],"gang":0,)"
    R"("same_rack":0,"speculative":0,"fills":0,"requires":0,"image":0,)"
    R"("data_rack":0,"max_per_server":[],"target_ms":[]})";
  std::string job = R"({"spec":0,"steps":[)";
  job += kStep;
  for (int step = 1; step < 1000; ++step) {
    job.append(1, ',').append(kStep);
  }
  return job + "]}";
}

// A job without steps, of legal size, made of short fields.
std::string
ManyFields()
{
  std::string job = R"({"steps":[])";
  for (int field = 0; job.size() + 12 < kBody; ++field) {
    job.append(",\"").append(std::to_string(field)).append("\":1");
  }
  return job + '}';
}

std::string
ManyHeaders()
{
  std::string head;
  for (int field = 0; head.size() < 7000; ++field) {
    head.append("a").append(std::to_string(field)).append(":\r\n");
  }
  return head;
}

} // namespace

struct Crowd::Client
{
  explicit Client(asio::io_context& aIo)
    : socket_(aIo)
  {
  }

  Awaitable<bool> Send(std::string_view aText)
  {
    const auto [error, sent] =
      co_await asio::async_write(socket_, asio::buffer(aText), kAsTuple);
    co_return !error;
  }

  Awaitable<void> SendPieces(std::string_view aText, std::size_t aSize)
  {
    bool isOpen = true;
    for (std::size_t at = 0; at < aText.size() && isOpen; at += aSize) {
      const auto piece = aText.substr(at, aSize);
      isOpen = co_await Send(piece);
    }
  }

  Awaitable<void> SendChunks(std::string_view aHead,
                             std::string_view aChunk,
                             std::size_t aCount)
  {
    bool isOpen = co_await Send(aHead);
    for (std::size_t sent = 0; sent < aCount && isOpen; ++sent) {
      isOpen = co_await Send(aChunk);
    }
  }

  Awaitable<void> Pause()
  {
    asio::steady_timer timer(socket_.get_executor(), kSlow);
    co_await timer.async_wait(kAsTuple);
  }

  asio::ip::tcp::socket socket_;
  bool isSettled_ = false; // sends no more, or has sent for long enough
  bool isOver_ = false;
};

Crowd::Crowd(asio::io_context& aIo, Sort aSort, Door aDoor, int aClients)
  : io_(aIo)
  , sort_(aSort)
  , door_(std::move(aDoor))
  , clients_(aClients)
  , leaving_(aIo, asio::steady_timer::time_point::max())
{
}

void
Crowd::Come()
{
  for (int number = 0; number < clients_; ++number) {
    asio::co_spawn(io_, RunClient(number), asio::detached);
  }
}

void
Crowd::Leave()
{
  leaving_.cancel();
}

std::string
Crowd::Head(const std::string& aMethod, const std::string& aRest) const
{
  return aMethod + ' ' + door_.path_ +
         " HTTP/1.1\r\nHost: demo.example\r\nX-Api-Key: demo-key\r\n" + aRest +
         "\r\n";
}

Awaitable<void>
Crowd::RunClient(int aNumber)
{
  auto client = std::make_shared<Client>(io_);
  const auto settle = [this, client] {
    settled_ += std::exchange(client->isSettled_, true) ? 0 : 1;
  };
  asio::steady_timer limit(io_, kSendLimit);
  limit.async_wait([settle](boost::system::error_code) { settle(); });
  asio::co_spawn(
    io_,
    [this, client, aNumber]() -> Awaitable<void> {
      const auto [error] = co_await client->socket_.async_connect(
        ReadEndpoint(door_.address_), kAsTuple);
      if (!error) {
        co_await Misbehave(*client, aNumber);
      }
    },
    [client, settle](const std::exception_ptr&) {
      settle();
      client->isOver_ = true;
    });
  co_await leaving_.async_wait(kAsTuple);
  boost::system::error_code ignored; // the server may have closed it
  client->socket_.close(ignored);
  while (!client->isOver_) {
    co_await client->Pause();
  }
  ++gone_;
}

Awaitable<void>
Crowd::Misbehave(Client& aClient, int aNumber)
{
  constexpr std::size_t kPiece = 1024;
  const std::string body(kBody - kMissing, 'x');
  const auto head = Head("POST", Length(kBody));
  const auto whole = head + body;
  const bool isOdd = aNumber % 2 == 1;
  const auto chunked = Head("POST", "Transfer-Encoding: chunked\r\n");
  const auto chunk = "400\r\n" + std::string(kPiece, 'x') + "\r\n";
  const auto sendChunks = [&](std::size_t aCount) {
    return aClient.SendChunks(chunked, chunk, aCount);
  };
  switch (sort_) {
    case Sort::Whole:
      co_await aClient.Send(whole);
      break;
    case Sort::Pieces:
      co_await aClient.SendPieces(whole, kPiece);
      break;
    case Sort::Chunks:
      co_await sendChunks(kBody / kPiece - 1);
      break;
    case Sort::Oversize: {
      const auto large = Head("POST", Length(400 * kBody));
      const std::string part(4 * kBody, 'x');
      if (isOdd) {
        co_await sendChunks(4 * kBody / kPiece);
      } else {
        co_await aClient.Send(large);
        co_await aClient.SendPieces(part, 16 * kPiece);
      }
      break;
    }
    case Sort::Fields: {
      auto request = Head("POST", ManyHeaders() + Length(kBody)) + body;
      if (!isOdd) {
        const auto job = ManyFields();
        request = Head("POST", Length(job.size())) + job;
      }
      co_await aClient.Send(request);
      break;
    }
    case Sort::Ahead: {
      std::string requests;
      for (int count = 0; count < 2000; ++count) {
        requests += Head("GET", "");
      }
      const auto job = WrongJob();
      for (int count = 0; count < 4 && isOdd; ++count) {
        requests += Head("POST", Length(job.size())) + job;
      }
      co_await aClient.Send(requests);
      break;
    }
    case Sort::SlowSenders: {
      // Half of them come as far as the body.
      const auto start = whole.substr(0, isOdd ? kBody / 2 : 0);
      bool isOpen = co_await aClient.Send(start);
      for (std::size_t at = start.size(); at < whole.size() && isOpen; ++at) {
        const auto byte = std::string_view(whole).substr(at, 1);
        isOpen = co_await aClient.Send(byte);
        co_await aClient.Pause();
      }
      break;
    }
    case Sort::SlowReaders: {
      // A small buffer, so that answers wait in the process that sends them.
      boost::system::error_code ignored;
      aClient.socket_.set_option(asio::socket_base::receive_buffer_size(1),
                                 ignored);
      const auto job = WrongJob();
      const auto request = Head("POST", Length(job.size())) + job;
      const bool isOpen = co_await aClient.Send(request);
      if (isOpen) {
        for (;;) {
          char byte = 0;
          const auto [error, got] = co_await aClient.socket_.async_read_some(
            asio::buffer(&byte, 1), kAsTuple);
          if (error) {
            break;
          }
          co_await aClient.Pause();
        }
      }
      break;
    }
    case Sort::Halfway:
      if (aNumber % 3 == 0) {
        const auto part = std::string_view(head).substr(0, 40);
        co_await aClient.Send(part);
      } else if (aNumber % 3 == 1) {
        const auto part = std::string_view(whole).substr(0, kBody / 2);
        co_await aClient.Send(part);
      } else {
        co_await sendChunks(kBody / kPiece / 2);
        const auto part = std::string_view(chunk).substr(0, kPiece / 2);
        co_await aClient.Send(part);
      }
      if (isOdd) {
        boost::system::error_code ignored; // the server may have closed it
        aClient.socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      }
      break;
  }
}

} // namespace cuminbridge::crowds
