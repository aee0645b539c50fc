#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_PHASE_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_PHASE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Why an owner took a target out of use.
enum class EjectionCause {
  kServerErrors,
  kTimeouts,
  kSlow,
  kStopped,
  kFailedTrial,
  kInherited,
};

template <>
struct EnumNames<EjectionCause> {
  static constexpr auto kTable = std::to_array<NameEntry<EjectionCause>>({
      {EjectionCause::kServerErrors, "server errors"},
      {EjectionCause::kTimeouts, "work times out while probes pass"},
      {EjectionCause::kSlow, "slower than its peers"},
      {EjectionCause::kStopped, "reached neither from here nor by a verifier"},
      {EjectionCause::kFailedTrial, "failed its trial"},
      {EjectionCause::kInherited, "ejected by the owner before"},
  });
};
static_assert(IsDense<EjectionCause>());

// Why an ejection was decided and how ill the target is: 0 to 1, where 1 is a
// target that answers nothing.
struct EjectionDiagnosis {
  EjectionCause cause = EjectionCause::kServerErrors;
  double severity = 1;
};

// States of an owned target.

struct HealthyPhase {
  // Set while an ejection was refused for the sake of the floor.
  std::optional<TimePoint> refused_until;
};

// Waits for the first home member to allow an ejection; the target stays in
// use.
struct AwaitingPermitPhase {
  EjectionDiagnosis diagnosis;
  // The state before, which holds until the permit arrives.
  std::optional<TimePoint> ramping_since;
  TimePoint first_asked;
  TimePoint next_ask_at;
};

struct EjectedPhase {
  EjectionDiagnosis diagnosis;
  TimePoint until;
  // When the last probe started; only a pass after that re-admits.
  std::optional<TimePoint> probed_at;
};

struct TrialPhase {
  TimePoint since;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
};

struct RampingPhase {
  TimePoint since;
};

struct DrainingPhase {
  TimePoint probe_at;
};

// This node does not reach the target; a home member may serve it instead.
struct UnreachablePhase {
  std::optional<VmId> handed_over_to;
  bool timed_out = false;
  TimePoint until;
  std::optional<TimePoint> probed_at;
};

using TargetPhase = std::variant<HealthyPhase,
                                 AwaitingPermitPhase,
                                 EjectedPhase,
                                 TrialPhase,
                                 RampingPhase,
                                 DrainingPhase,
                                 UnreachablePhase>;

// Returns the state for notices and reports. Thread-safe.
auto StateOf(const TargetPhase& phase) -> TargetState;

// Returns the reason for reports, empty for a plain healthy target.
// Thread-safe.
auto ReasonOf(const TargetPhase& phase) -> std::string;

// Returns how ill the target is, 0 to 1, which orders the return of targets
// below the floor. Thread-safe.
auto SeverityOf(const TargetPhase& phase) -> double;

// Duration over which the share of a re-admitted target rises to 1.
inline constexpr Duration kRampDuration = std::chrono::seconds(10);

// Returns the share of a target with `slots` slots that the phase gives at
// `now`, 0 to 1. Thread-safe.
auto ShareOf(const TargetPhase& phase, std::uint32_t slots, TimePoint now)
    -> double;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_PHASE_H_
