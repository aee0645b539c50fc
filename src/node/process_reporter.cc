#include "node/process_reporter.h"

#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>
#include <utility>

namespace flamingoyoke {
namespace {

constexpr Duration kReadPeriod = std::chrono::seconds(5);

// Calls `visit` with each entry of a folder. Returns whether all were read.
template <typename Visit>
auto VisitEntries(const char* folder, const Visit& visit) -> bool {
  std::error_code error;
  std::filesystem::directory_iterator entry(folder, error);
  while (!error && entry != std::filesystem::directory_iterator()) {
    visit(*entry);
    entry.increment(error);
  }
  return !error;
}

auto CountEntries(const char* folder) -> std::optional<std::ptrdiff_t> {
  std::ptrdiff_t count = 0;
  const bool is_complete = VisitEntries(folder, [&](const auto&) { ++count; });
  return is_complete ? std::optional(count) : std::nullopt;
}

auto ReadResidentBytes() -> std::optional<std::ptrdiff_t> {
  std::ifstream file("/proc/self/statm");
  std::ptrdiff_t total_pages = 0;
  std::ptrdiff_t resident_pages = 0;
  if (!(file >> total_pages >> resident_pages)) {
    return std::nullopt;
  }
  return resident_pages * sysconf(_SC_PAGESIZE);
}

// Open descriptors, and the bytes in the kernel's buffers of those that are
// sockets.
struct DescriptorUse {
  std::ptrdiff_t count = 0;
  std::ptrdiff_t receive_bytes = 0;
  std::ptrdiff_t send_bytes = 0;
};

auto ReadDescriptorUse() -> std::optional<DescriptorUse> {
  DescriptorUse use;
  const auto add = [&](const std::filesystem::directory_entry& entry) {
    ++use.count;
    const auto name = entry.path().filename().string();
    int descriptor = -1;
    std::from_chars(name.data(), name.data() + name.size(), descriptor);
    std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
    socklen_t size = sizeof(memory);
    // Fails for descriptors that are no sockets.
    if (getsockopt(descriptor, SOL_SOCKET, SO_MEMINFO, memory.data(), &size) ==
        0) {
      use.receive_bytes += memory[SK_MEMINFO_RMEM_ALLOC];
      use.send_bytes += memory[SK_MEMINFO_WMEM_QUEUED];
    }
  };
  if (!VisitEntries("/proc/self/fd", add)) {
    return std::nullopt;
  }
  // One of the descriptors is that of the open folder.
  --use.count;
  return use;
}

auto AddGauge(std::vector<MetricSample>& samples,
              std::string name,
              std::string help,
              std::optional<std::ptrdiff_t> value) -> void {
  if (value) {
    samples.push_back({.name = std::move(name),
                       .help = std::move(help),
                       .is_counter = false,
                       .value = static_cast<double>(*value)});
  }
}

}  // namespace

auto ProcessReporter::Report(TimePoint now)
    -> const std::vector<MetricSample>& {
  if (read_at_ && now - *read_at_ < kReadPeriod) {
    return samples_;
  }
  read_at_ = now;
  samples_.clear();
  AddGauge(samples_, "flamingoyoke_process_threads", "Threads of the process.",
           CountEntries("/proc/self/task"));
  AddGauge(samples_, "flamingoyoke_process_resident_bytes",
           "Resident memory of the process.", ReadResidentBytes());
  if (const auto use = ReadDescriptorUse()) {
    AddGauge(samples_, "flamingoyoke_process_descriptors",
             "Open descriptors of the process.", use->count);
    AddGauge(samples_, "flamingoyoke_process_socket_receive_bytes",
             "Memory of received data in the kernel's socket buffers.",
             use->receive_bytes);
    AddGauge(samples_, "flamingoyoke_process_socket_send_bytes",
             "Memory of data to send in the kernel's socket buffers.",
             use->send_bytes);
  }
  return samples_;
}

}  // namespace flamingoyoke
