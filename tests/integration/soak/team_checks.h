#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_TEAM_CHECKS_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_TEAM_CHECKS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "integration/soak/call_checks.h"
#include "integration/soak/ended_call.h"
#include "integration/soak/soak_settings.h"
#include "integration/soak/team_history.h"

namespace flamingoyoke::integration {

// Bounds of the users' pages: a change is in force this long after the store
// acknowledged it, at gateways that have been undisturbed for kInTouchTime.
inline constexpr auto kApplyTime = std::chrono::seconds(2);
inline constexpr auto kInTouchTime = std::chrono::milliseconds(3500);

// The time in which most requests of a team reached targets, compared with what
// its limit allows.
struct QuotaPeak {
  std::size_t team = 0;
  TimePoint start;
  std::size_t requests = 0;
  std::size_t allowed = 0;
};

// Judges calls by the keys and limits of their teams. Not thread-safe.
class TeamChecks {
 public:
  // All arguments must outlive the checks.
  TeamChecks(const SoakSettings& settings,
             const std::vector<GatewayHistory>& gateways,
             const TeamHistory& history,
             const TargetLogs& logs);

  // Returns the names of the promises about teams that `call` broke.
  [[nodiscard]] auto Check(const EndedCall& call) const
      -> std::vector<std::string>;

  // Returns whether the answer refuses the call for its key, or for the limit
  // of a team that has one.
  [[nodiscard]] auto IsRefused(const EndedCall& call) const -> bool;

  // Returns the peak of each team with a limit that has one.
  [[nodiscard]] auto FindPeaks(const std::vector<EndedCall>& calls) const
      -> std::vector<QuotaPeak>;

 private:
  // Whether the call reached a target though its key was gone.
  [[nodiscard]] auto RunsWithoutKey(const EndedCall& call) const -> bool;
  // Whether the call was refused for its key, which was valid all the time.
  [[nodiscard]] auto IsRefusedWithKey(const EndedCall& call) const -> bool;
  [[nodiscard]] auto NamesOtherTeam(const EndedCall& call) const -> bool;
  // Whether the gateway ran and neither it nor the store was disturbed during
  // `time` and kInTouchTime before.
  [[nodiscard]] auto IsInTouch(std::size_t gateway, Interval time) const
      -> bool;
  [[nodiscard]] auto AbsencesOf(const std::string& key) const
      -> const std::vector<KeyAbsence>&;
  // Returns how many requests of a team may run during `time`.
  [[nodiscard]] auto Allowed(std::size_t team, const Interval& time) const
      -> std::size_t;

  const SoakSettings& settings_;
  const std::vector<GatewayHistory>& gateways_;
  const TeamHistory& history_;
  const TargetLogs& logs_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_TEAM_CHECKS_H_
