#include "node/process_reporter.h"

#include <filesystem>
#include <iterator>
#include <string>
#include <system_error>
#include <utility>

namespace flamingoyoke {
namespace {

constexpr Duration kReadPeriod = std::chrono::seconds(5);

auto CountEntries(const char* folder) -> std::optional<std::ptrdiff_t> {
  std::error_code error;
  std::ptrdiff_t count = 0;
  std::filesystem::directory_iterator entry(folder, error);
  while (!error && entry != std::filesystem::directory_iterator()) {
    ++count;
    entry.increment(error);
  }
  return error ? std::nullopt : std::optional(count);
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
  // One of the descriptors is that of the open folder.
  auto descriptors = CountEntries("/proc/self/fd");
  if (descriptors) {
    --*descriptors;
  }
  AddGauge(samples_, "flamingoyoke_process_descriptors",
           "Open descriptors of the process.", descriptors);
  return samples_;
}

}  // namespace flamingoyoke
