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

// Why the owner ejected a target.
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

// Cause and severity of an ejection. The severity is 0 to 1, where 1 is a
// target that does not answer at all.
struct EjectionDiagnosis {
  EjectionCause cause = EjectionCause::kServerErrors;
  double severity = 1;
};

// Phases of an owned target.

struct HealthyPhase {
  // Set after an ejection was refused because of the capacity floor.
  std::optional<TimePoint> refused_until;
};

// The owner waits for the first home member to permit an ejection. The target
// stays in use.
struct AwaitingPermitPhase {
  EjectionDiagnosis diagnosis;
  // Set if the target was ramping. It continues to ramp until the permit
  // arrives.
  std::optional<TimePoint> ramping_since;
  TimePoint first_asked;
  TimePoint next_ask_at;
};

struct EjectedPhase {
  EjectionDiagnosis diagnosis;
  TimePoint until;
  // Start of the probe whose pass starts the trial, if one is running.
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

// This node cannot reach the target. Another home member may have taken it
// over.
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

// Returns the state to publish in notices and reports. Thread-safe.
auto StateOf(const TargetPhase& phase) -> TargetState;

// Returns the reason for reports. It is empty for a healthy target unless an
// ejection was refused. Thread-safe.
auto ReasonOf(const TargetPhase& phase) -> std::string;

// Returns the severity of the failure, 0 to 1. Below the capacity floor,
// targets are brought back in the order of severity. Thread-safe.
auto SeverityOf(const TargetPhase& phase) -> double;

// Duration over which the share of a readmitted target rises to 1.
inline constexpr Duration kRampDuration = std::chrono::seconds(10);

// Returns the usable share of a target with `slots` slots at `now`, 0 to 1.
// Thread-safe.
auto ShareOf(const TargetPhase& phase, std::uint32_t slots, TimePoint now)
    -> double;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_PHASE_H_
