#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "integration/soak/caller_task.h"
#include "integration/soak/fault_player.h"
#include "integration/soak/gateway_watch.h"
#include "integration/soak/soak_settings.h"
#include "integration/soak/soak_store.h"
#include "integration/soak/team_checks.h"
#include "integration/support/published_fleet.h"
#include "runtime/clock.h"
#include "runtime/mailbox.h"
#include "runtime/task_host.h"

namespace flamingoyoke::integration {

// One run of a fleet of real processes under random faults. Storms of
// overlapping faults alternate with calm times, in which the bounds on changes
// and on targets that leave are checked while connections to the store fail.
// Not thread-safe.
class Soak {
 public:
  // Starts the gateways.
  Soak(std::uint64_t seed, const SoakSettings& settings);

  // Returns the promises that were broken.
  auto Run() -> std::vector<std::string>;

 private:
  auto MakeCallers() -> std::unique_ptr<CallerTask>;
  auto Report(const std::string& what) -> void;
  // Returns the milliseconds from the start until `time`.
  [[nodiscard]] auto SinceStart(TimePoint time) const -> std::string;
  auto Tick() -> void;
  auto WaitUntilTime(TimePoint end) -> void;
  auto WaitForReady() -> void;
  auto PlayStorm() -> void;
  auto PlayCalm(std::size_t storm) -> void;
  // Checks that all gateways serve a route that was added, after the watches
  // ended as `end`.
  auto CheckRoute(const std::string& path, const std::string& end) -> void;
  // Describes the requests that reached a target after `time`, also those that
  // wait there; empty if there are none.
  auto DescribeArrivals(std::size_t target, TimePoint time) -> std::string;
  // Returns what reached the targets.
  auto CollectTargetLogs() -> TargetLogs;
  auto CheckCalls() -> void;
  // Checks that no team exceeds its limit, and that no key reached a target.
  auto CheckTeams(const TeamChecks& checks,
                  const std::vector<EndedCall>& calls,
                  const TargetLogs& logs) -> void;
  // Describes a call, its runs and what was done to its gateway.
  auto DescribeCall(const CallChecks& checks, const EndedCall& call)
      -> std::string;
  // Returns when `key` was missing from the configuration.
  auto DescribeAbsences(const std::string& key) -> std::string;
  // Keeps the logs of the gateways for a trace.
  auto KeepLogs() -> void;

  const std::uint64_t seed_;
  const SystemLimit limit_;
  const SoakSettings settings_;
  const TimePoint start_ = Now();
  Random random_;
  PublishedStoreFleet fleet_;
  Mailbox<CallMessage> ended_;
  Mailbox<CallerMessage> caller_mailbox_;
  std::vector<std::string> broken_;
  GatewayWatch gateways_;
  SoakStore store_;
  FaultPlayer faults_;
  TaskHost<CallerTask> callers_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_H_
