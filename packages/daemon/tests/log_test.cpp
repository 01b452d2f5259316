// The log's output, with and without a reader. A full pipe must block neither
// the daemon's thread nor a shutdown.

#include <algorithm>
#include <array>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include "daemon_log.h"

using namespace cuminbridge;

namespace {

constexpr int kLines = 20000; // far more than a pipe and the queue can hold

std::string
ReadAll(int aFileDescriptor)
{
  std::string all;
  std::array<char, 4096> part{};
  for (ssize_t size = 0;
       (size = read(aFileDescriptor, part.data(), part.size())) > 0;) {
    all.append(part.data(), static_cast<std::size_t>(size));
  }
  return all;
}

void
WriteMany(int aFirst, int aCount)
{
  for (int number = aFirst; number < aFirst + aCount; ++number) {
    // The time advances so that all lines stay within the rate limit.
    WriteLine({ "run_placed", "job", "item", "target", "some detail" },
              Instant(Millis(2 * number)));
  }
}

} // namespace

TEST_CASE("without a reader, neither writing a line nor a shutdown blocks")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const auto before = LinesLeftOut();
  StartDaemonLog("entry-1", ends[1]);
  WriteMany(0, kLines);
  const auto during = LinesLeftOut();
  StopDaemonLog(); // would hang here with a sink that blocks
  CHECK(during > before);
  close(ends[1]);
  // All lines that were written are whole, except the last one.
  const auto text = ReadAll(ends[0]);
  CHECK(text.size() > 4096);
  CHECK(text.rfind("{\"time\":", 0) == 0);
  close(ends[0]);
}

TEST_CASE("a reader that keeps up gets every line")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  StartDaemonLog("entry-1", ends[1]);
  constexpr int kFew = 100;
  WriteMany(2 * kLines, kFew);
  StopDaemonLog();
  close(ends[1]);
  const auto text = ReadAll(ends[0]);
  CHECK(std::count(text.begin(), text.end(), '\n') == kFew);
  close(ends[0]);
}
