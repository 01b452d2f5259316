// Which connections are closed when a limit is met, without a network.

#include <catch2/catch.hpp>

#include "limits/connection_table.h"
#include "limits/request_parser.h"

using namespace cuminbridge;

namespace {

struct FakeConnection : LimitedConnection
{
  explicit FakeConnection(std::string aPeer = "peer")
    : LimitedConnection(std::move(aPeer))
  {
  }
  void Close() override { ++closes_; }
  int closes_ = 0;
};

std::vector<std::shared_ptr<FakeConnection>>
AddConnections(ConnectionTable& aTable, std::size_t aCount)
{
  std::vector<std::shared_ptr<FakeConnection>> all;
  for (std::size_t number = 0; number < aCount; ++number) {
    all.push_back(std::make_shared<FakeConnection>());
    aTable.Add(all.back());
  }
  return all;
}

} // namespace

TEST_CASE("of too many connections, the longest without a request is closed")
{
  ConnectionTable table;
  const auto all = AddConnections(table, 3);
  CHECK(table.MakeRoom(4));
  CHECK(all[0]->closes_ == 0);
  table.Renew(all[0]);
  all[1]->isHandling_ = true;
  CHECK(table.MakeRoom(3));
  CHECK(all[2]->closes_ == 1);
  CHECK(table.OpenCount() == 2);
  CHECK(table.CountOfPeer("peer") == 2);
  table.Remove(all[2]); // its coroutine ends later
  CHECK(table.OpenCount() == 2);
  all[0]->isHandling_ = true;
  CHECK(!table.MakeRoom(2));
}

TEST_CASE("bodies that stop short make room for newer requests")
{
  ConnectionTable table;
  const auto all = AddConnections(table, 3);
  CHECK(table.Hold(all[0], 60, 100));
  CHECK(table.Hold(all[1], 40, 100));
  CHECK(table.Hold(all[2], 30, 100));
  CHECK(all[0]->closes_ == 1);
  CHECK(table.HeldBytes() == 70);
  all[1]->isHandling_ = true; // a request that runs is not closed
  CHECK(!table.Hold(all[2], 61, 100));
  CHECK(all[1]->closes_ == 0);
  CHECK(table.HeldBytes() == 40);
  CHECK(!table.Hold(all[0], 1, 100)); // it is closed
  const auto cause = static_cast<std::size_t>(LimitCause::Memory);
  CHECK(table.Counts()[cause] == 2);
}

TEST_CASE("a body takes memory as it comes, and heads have a count of fields")
{
  HttpServerOptions options;
  options.maxHeadFields_ = 2;
  boost::system::error_code error;
  RequestParser parser(options);
  const std::string head =
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nxx";
  parser.put(boost::asio::buffer(head), error);
  CHECK(parser.is_header_done());
  CHECK(parser.BodyBytes() == 2);
  CHECK(parser.HeldBytes() < 1000);
  RequestParser many(options);
  const std::string fields = "GET / HTTP/1.1\r\na: 1\r\nb: 2\r\nc: 3\r\n\r\n";
  many.put(boost::asio::buffer(fields), error);
  CHECK(error == boost::beast::http::error::header_limit);
}
