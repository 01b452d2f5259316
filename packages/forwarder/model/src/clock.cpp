// BootClock, the clock of the programs.

#include <ctime>

#include "cuminbridge/model.h"

namespace cuminbridge::forwarder {

TimePoint
BootClock::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace cuminbridge::forwarder
