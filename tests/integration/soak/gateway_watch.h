#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_GATEWAY_WATCH_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_GATEWAY_WATCH_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "integration/soak/call_checks.h"
#include "integration/soak/soak_settings.h"
#include "integration/support/published_fleet.h"
#include "runtime/clock.h"

namespace flamingoyoke::integration {

// Starts, signals and restarts the gateways of a soak, and reports processes
// that end in a way they must not. Not thread-safe.
class GatewayWatch {
 public:
  using Report = std::function<void(const std::string&)>;

  // Starts no gateway. `fleet` and `settings` must outlive the watch.
  GatewayWatch(PublishedStoreFleet& fleet,
               const SoakSettings& settings,
               SystemLimit limit,
               Report report);

  // Starts the next `count` gateways.
  auto StartMore(std::size_t count) -> void;

  // Sends SIGTERM, unless the process is stopping.
  auto Stop(std::size_t index) -> void;
  // Sends a further signal to a process that is stopping.
  auto SignalStopping(std::size_t index, int signal) -> void;
  auto Reload(std::size_t index) -> void;
  auto Kill(std::size_t index) -> void;
  // Pauses or resumes a process.
  auto Pause(std::size_t index) -> void;
  auto Resume(std::size_t index) -> void;
  // Records that the soak disrupted the connections of a gateway from `start`
  // until now.
  auto MarkHarmed(std::size_t index, TimePoint start) -> void;

  // Collects and restarts processes that have ended, and kills those that ran
  // on after their grace.
  auto Tick() -> void;

  // Whether no process is stopping or was killed.
  [[nodiscard]] auto AreAllStable() const -> bool;
  // Stops all processes and waits for their ends.
  auto StopAll() -> void;

  [[nodiscard]] auto started() const -> std::size_t { return started_; }
  [[nodiscard]] auto histories() const -> const std::vector<GatewayHistory>& {
    return histories_;
  }

 private:
  // State of one process.
  struct Process {
    TimePoint started = Now();
    std::optional<TimePoint> stopped;
    bool is_readiness_checked = false;
    // Whether it handled SIGTERM when it was sent.
    bool had_handlers = false;
    bool is_killed = false;
    std::optional<TimePoint> paused;
    bool was_paused = false;
    bool has_ended = false;
  };

  auto Start(std::size_t index) -> void;
  // Whether the limit of the run holds for a gateway.
  [[nodiscard]] auto IsLimited(std::size_t index) const -> bool;
  [[nodiscard]] auto Launcher(std::size_t index) const
      -> std::vector<std::string>;
  auto CheckStopping(std::size_t index) -> void;
  auto CheckEnd(std::size_t index, int code) -> void;
  // Writes what was done to a gateway beside its log.
  auto Trace(std::size_t index, const std::string& action) -> void;
  auto SignalIfRunning(std::size_t index, int signal) -> void;

  PublishedStoreFleet& fleet_;
  const SoakSettings& settings_;
  const SystemLimit limit_;
  const Report report_;
  std::size_t started_ = 0;
  std::vector<Process> processes_;
  std::vector<GatewayHistory> histories_;
  bool is_ending_ = false;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_GATEWAY_WATCH_H_
