// Runs one case of the review against entries that are started beside it.
//
//   review_case CASE NETWORK RECORD TROUBLE
//
// Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not
// run.

#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "cases.hh"

int
main(int argc, char** argv)
{
  constexpr int kArguments = 5;
  if (argc != kArguments) {
    std::cerr << "usage: review_case CASE 127.0.41 record.txt 0|1\n";
    return review::kCannotRun;
  }
  const std::string name = argv[1];
  const auto found = review::Cases().find(name);
  if (found == review::Cases().end()) {
    std::cerr << "no case " << name << "\n";
    return review::kCannotRun;
  }
  boost::asio::io_context io(1);
  review::World world(io, argv[2], argv[3]);
  const bool hasTrouble = std::string(argv[4]) != "0";
  found->second.start_(world);
  int result = review::kCannotRun;
  boost::asio::co_spawn(
    io,
    [&]() -> review::Awaitable<void> {
      if (co_await world.WaitReady(review::kEntries, 15000)) {
        result = co_await found->second.run_(world, hasTrouble);
      } else {
        world.Log().Add("the entries are not ready");
      }
      world.Log().Add("result: " + std::to_string(result));
      io.stop();
    },
    boost::asio::detached);
  io.run();
  std::_Exit(result); // other coroutines are still at work
}
