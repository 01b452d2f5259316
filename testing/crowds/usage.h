// Memory and descriptors of a process, from /proc.

#ifndef cuminbridge_crowds_usage_h
#define cuminbridge_crowds_usage_h

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <sys/types.h>

namespace cuminbridge::crowds {

struct Usage
{
  std::uint64_t memoryKb_ = 0; // resident, with what its sockets have not read
  std::uint64_t descriptors_ = 0;

  bool operator==(const Usage&) const = default;
};

// A line "NAME: 12 kB" of /proc/PID/status.
inline std::uint64_t
ReadStatus(pid_t aProcess, const std::string& aName)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string name;
  while (file >> name) {
    if (name == aName + ':') {
      std::uint64_t value = 0;
      file >> value;
      return value;
    }
  }
  return 0;
}

// Bytes received and not yet read on connections of a local address, as in
// /proc/net/tcp: "652C007F" is 127.0.44.101.
inline std::uint64_t
UnreadBytes(const std::string& aHexAddress)
{
  constexpr int kHex = 16;
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  std::uint64_t sum = 0;
  while (std::getline(file, line)) {
    std::istringstream row(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues; // sent and received, "00000000:00000000"
    row >> number >> local >> remote >> state >> queues;
    const auto colon = queues.find(':');
    // In a listener's row the second number counts connections.
    if (local.rfind(aHexAddress, 0) == 0 && state != "0A" &&
        colon != std::string::npos) {
      sum += std::stoull(queues.substr(colon + 1), nullptr, kHex);
    }
  }
  return sum;
}

inline Usage
ReadUsage(pid_t aProcess, const std::string& aHexAddress)
{
  constexpr std::uint64_t kBytesPerKb = 1024;
  Usage usage;
  usage.memoryKb_ =
    ReadStatus(aProcess, "VmRSS") + UnreadBytes(aHexAddress) / kBytesPerKb;
  std::error_code ended; // the process may have ended
  for (auto it = std::filesystem::directory_iterator(
         "/proc/" + std::to_string(aProcess) + "/fd", ended);
       it != std::filesystem::directory_iterator();
       ++it) {
    ++usage.descriptors_;
  }
  return usage;
}

} // namespace cuminbridge::crowds

#endif // cuminbridge_crowds_usage_h
