#include "integration/support/gateway_figures.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace flamingoyoke::integration {

auto ProcessorTime(pid_t pid) -> std::chrono::duration<double> {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // The fields after the name, which may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBeforeTimes = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return std::chrono::duration<double>(
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

auto PeakMemoryKb(pid_t pid) -> long {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  const std::string name = "VmHWM:";
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(name)) {
      return std::stol(line.substr(name.size()));
    }
  }
  return 0;
}

auto CountDescriptors(pid_t pid) -> std::size_t {
  const std::filesystem::directory_iterator folder("/proc/" +
                                                   std::to_string(pid) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

auto SocketQueueBytes(pid_t pid) -> std::size_t {
  std::set<std::string> inodes;
  const std::string prefix = "socket:[";
  std::error_code error;
  const std::filesystem::directory_iterator folder(
      "/proc/" + std::to_string(pid) + "/fd", error);
  for (const auto& entry : folder) {
    const auto link = std::filesystem::read_symlink(entry, error).string();
    if (link.starts_with(prefix)) {
      inodes.insert(
          link.substr(prefix.size(), link.size() - prefix.size() - 1));
    }
  }
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  std::size_t total = 0;
  constexpr int kHex = 16;
  constexpr const char* kListening = "0A";
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    std::string timer;
    std::string retransmits;
    std::string user;
    std::string timeout;
    std::string inode;
    fields >> slot >> local >> remote >> state >> queues >> timer >>
        retransmits >> user >> timeout >> inode;
    // The queue of a listener counts connections.
    if (state == kListening || !inodes.contains(inode)) {
      continue;
    }
    const auto colon = queues.find(':');
    total += std::stoul(queues.substr(0, colon), nullptr, kHex) +
             std::stoul(queues.substr(colon + 1), nullptr, kHex);
  }
  return total;
}

auto ReadMetric(PublishedStoreFleet& fleet,
                std::size_t gateway,
                const std::string& name) -> double {
  const auto text = fleet.http()
                        .Send({.server = fleet.AddressesOf(gateway).back(),
                               .target = "/metrics",
                               .timeout = std::chrono::seconds(1)})
                        .body;
  const auto found = text.find("\n" + name + " ");
  return found == std::string::npos
             ? -1
             : std::stod(text.substr(found + name.size() + 2));
}

auto HasAllPeers(PublishedStoreFleet& fleet, std::size_t gateway) -> bool {
  return ReadMetric(fleet, gateway, "flamingoyoke_fleet_peers") ==
             static_cast<double>(fleet.gateways() - 1) &&
         ReadMetric(fleet, gateway, "flamingoyoke_fleet_cut_off_peers") == 0;
}

auto CountLogLines(const PublishedStoreFleet& fleet,
                   std::size_t gateway,
                   const std::string& words) -> int {
  std::ifstream file(fleet.folder() + "/gateway-" + std::to_string(gateway) +
                     ".log");
  int count = 0;
  for (std::string line; std::getline(file, line);) {
    count += line.find(words) == std::string::npos ? 0 : 1;
  }
  return count;
}

}  // namespace flamingoyoke::integration
