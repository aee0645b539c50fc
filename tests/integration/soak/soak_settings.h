#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_SETTINGS_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/name_table.h"

namespace flamingoyoke::integration {

// A limit of the system that holds for gateways during a whole run.
enum class SystemLimit {
  kNone,
  kDescriptors256,   // Hard limit, every third gateway.
  kDescriptors1024,  // Hard limit, every third gateway.
  kAddressSpace,     // 160 MB, every third gateway.
  kFileSize,         // 64 KB, which the log reaches; every third gateway.
  kOneCore,          // All gateways share one core.
  kQuota,            // Every third gateway runs 20 of each 100 ms.
  kScarceProcessor,  // All gateways run a few of each 100 ms.
  kTasks,            // 512 for all gateways together; needs root.
};

}  // namespace flamingoyoke::integration

namespace flamingoyoke {

template <>
struct EnumNames<integration::SystemLimit> {
  static constexpr auto kTable =
      std::to_array<NameEntry<integration::SystemLimit>>({
          {integration::SystemLimit::kNone, "none"},
          {integration::SystemLimit::kDescriptors256, "descriptors-256"},
          {integration::SystemLimit::kDescriptors1024, "descriptors-1024"},
          {integration::SystemLimit::kAddressSpace, "address-space"},
          {integration::SystemLimit::kFileSize, "file-size"},
          {integration::SystemLimit::kOneCore, "one-core"},
          {integration::SystemLimit::kQuota, "quota"},
          {integration::SystemLimit::kScarceProcessor, "scarce-processor"},
          {integration::SystemLimit::kTasks, "tasks"},
      });
};
static_assert(IsDense<integration::SystemLimit>());

}  // namespace flamingoyoke

namespace flamingoyoke::integration {

// A route and the requests that callers send to it.
struct RouteSettings {
  // Begins and ends with a slash.
  std::string prefix;
  // "safe", "unsafe" or "upload".
  std::string kind;
  std::string service;
  std::chrono::milliseconds timeout;
  std::chrono::milliseconds deadline;
  std::size_t body_bytes;
  // Work times are log-normal; one of 30 is seven times as long.
  std::chrono::milliseconds median_work;
  std::chrono::milliseconds longest_work;
  // Requests that a caller sends at once on its connection.
  std::size_t pipelined;
  // Share of the callers that use the route, relative to the other routes.
  double weight;
};

// A team of the configuration and its callers.
struct TeamSettings {
  std::string name;
  // Each caller uses one of them.
  std::vector<std::string> keys;
  // 0 for no limit.
  double rate_per_s;
  double burst;
  // Share of the callers, relative to the other teams.
  std::size_t weight;
};

// What `SystemLimit::kScarceProcessor` means.
struct ScarceProcessor {
  // Time that each gateway may run of each 100 ms.
  std::chrono::milliseconds run;
  // Load that a fleet with so little processor time can serve. A call costs all
  // gateways together 0.19 to 0.23 ms, starts and control included (12 plays
  // of small.json).
  std::size_t callers;
  double requests_per_s;
};

// Size, load and faults of a soak.
struct SoakSettings {
  std::size_t gateways;
  // Gateways that join after the first storm.
  std::size_t added_gateways;
  std::size_t callers;
  double requests_per_s;
  // Number of targets of each service.
  std::map<std::string, std::size_t> targets;
  // Requests that a target runs at a time.
  std::size_t slots;
  std::vector<RouteSettings> routes;
  std::vector<TeamSettings> teams;
  // Time that callers use an answer of the directory; a third of them uses it
  // three times as long.
  std::chrono::milliseconds address_ttl;
  // SIGKILL follows SIGTERM after this time.
  std::chrono::milliseconds grace;
  std::size_t storms;
  std::chrono::milliseconds storm;
  std::chrono::milliseconds longest_fault_gap;
  // Largest share of the gateways that a roll of stops takes.
  double roll_share;
  std::size_t grown_routes;
  // The seed chooses one.
  std::vector<SystemLimit> limits;
  ScarceProcessor scarce_processor;
};

// Returns the limit called `name`. Aborts the test if there is none.
auto ReadLimit(const std::string& name) -> SystemLimit;

// Reads settings from a JSON file. Aborts the test on an error.
auto ReadSoakSettings(const std::string& path) -> SoakSettings;

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_SETTINGS_H_
