#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALL_CHECKS_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALL_CHECKS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "integration/soak/ended_call.h"
#include "integration/soak/soak_settings.h"

namespace flamingoyoke::integration {

// What a target reports of one run of a request.
struct TargetRun {
  TimePoint start;
  // Unset while the target is at work.
  std::optional<TimePoint> end;
  // Whether the target completed its answer.
  bool is_sound = false;
  // 0 until the target answers.
  int status = 0;
};

// What all targets report, by request id.
struct TargetLogs {
  std::map<std::string, std::vector<TargetRun>> runs;
  // When requests reached a target, also those that did not run.
  std::map<std::string, std::vector<TimePoint>> arrivals;
  // The teams that these requests named, in the same order.
  std::map<std::string, std::vector<std::string>> teams;
  // Number of requests with the key of a caller.
  std::size_t with_key = 0;
};

// What the soak did to one gateway.
struct GatewayHistory {
  // Kills, pauses, resets of its connections.
  std::vector<Interval> harmed;
  // SIGTERMs.
  std::vector<TimePoint> stops;
  // Starts of its processes.
  std::vector<TimePoint> starts;
};

// Calls that had no answer at the timeout of their route.
struct HeldCalls {
  std::size_t reached = 0;
  // Those that had none half a second later either.
  std::size_t unanswered = 0;

  // Whether the gateways do not keep to the timeouts: over half of the calls
  // are held, or eight and over a quarter.
  [[nodiscard]] auto IsTooMany() const -> bool;
};

// Judges calls by what callers and targets saw. Not thread-safe.
class CallChecks {
 public:
  // `settings` and `gateways` must outlive the checks.
  CallChecks(const SoakSettings& settings,
             const std::vector<GatewayHistory>& gateways,
             TargetLogs logs);

  // Returns the names of the promises that `call` broke.
  [[nodiscard]] auto Check(const EndedCall& call) const
      -> std::vector<std::string>;

  // Returns whether the call reached a target long after its caller closed the
  // connection to an undisturbed gateway.
  [[nodiscard]] auto ArrivesAfterClose(const EndedCall& call) const -> bool;
  // Returns whether the call had no answer of an undisturbed gateway at the
  // timeout of its route, of which callers wait for half a second more.
  [[nodiscard]] auto ReachesTimeout(const EndedCall& call) const -> bool;
  // Returns whether it had none half a second later either. Precondition: it
  // reaches its timeout.
  [[nodiscard]] auto IsHeld(const EndedCall& call) const -> bool;
  // Returns the number of runs whose target broke off its answer.
  [[nodiscard]] auto CountBrokenOff() const -> std::size_t;

  [[nodiscard]] auto RunsOf(const EndedCall& call) const
      -> const std::vector<TargetRun>&;

 private:
  // Whether an accepted request was lost without an excuse.
  [[nodiscard]] auto IsLost(const EndedCall& call) const -> bool;
  // Whether the soak disrupted a gateway during `time`.
  [[nodiscard]] auto IsHarmed(std::size_t gateway, const Interval& time) const
      -> bool;
  // Whether the target worked on into the last sixth of the grace, on a request
  // that was sent soon after the SIGTERM.
  [[nodiscard]] auto IsPastGrace(const EndedCall& call) const -> bool;

  const SoakSettings& settings_;
  const std::vector<GatewayHistory>& gateways_;
  const TargetLogs logs_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALL_CHECKS_H_
