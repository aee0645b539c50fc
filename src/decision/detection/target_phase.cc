#include "decision/detection/target_phase.h"

#include <algorithm>

#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

// The share rises in steps, so that a ramp takes only twenty messages to the
// dispatcher.
constexpr int kRampSteps = 20;

auto RampShare(TimePoint since, std::uint32_t slots, TimePoint now) -> double {
  const double min_share = 1.0 / std::max<std::uint32_t>(slots, 1);
  const auto step = kRampSteps * (now - since) / kRampDuration;
  const double progress =
      std::clamp(static_cast<double>(step) / kRampSteps, 0.0, 1.0);
  return min_share + (1 - min_share) * progress;
}

}  // namespace

auto StateOf(const TargetPhase& phase) -> TargetState {
  return std::visit(
      Overloaded{
          [](const HealthyPhase&) { return TargetState::kHealthy; },
          [](const AwaitingPermitPhase& waiting) {
            return waiting.ramping_since ? TargetState::kRamping
                                         : TargetState::kHealthy;
          },
          [](const EjectedPhase&) { return TargetState::kEjected; },
          [](const TrialPhase&) { return TargetState::kTrial; },
          [](const RampingPhase&) { return TargetState::kRamping; },
          [](const DrainingPhase&) { return TargetState::kDraining; },
          [](const UnreachablePhase&) { return TargetState::kUnreachable; },
      },
      phase);
}

auto ReasonOf(const TargetPhase& phase) -> std::string {
  return std::visit(
      Overloaded{
          [](const HealthyPhase& healthy) -> std::string {
            return healthy.refused_until ? "ejection refused: floor" : "";
          },
          [](const AwaitingPermitPhase& waiting) -> std::string {
            return "waits for a permit: " +
                   std::string(ToName(waiting.diagnosis.cause));
          },
          [](const EjectedPhase& ejected) {
            return std::string(ToName(ejected.diagnosis.cause));
          },
          [](const TrialPhase&) -> std::string {
            return "probe passed, one slot in use";
          },
          [](const RampingPhase&) -> std::string { return "weight rises"; },
          [](const DrainingPhase&) -> std::string { return "drain signal"; },
          [](const UnreachablePhase& unreachable) -> std::string {
            const std::string what = unreachable.timed_out
                                         ? "work times out from here"
                                         : "not reached from here";
            return unreachable.handed_over_to
                       ? what + ", handed to " +
                             unreachable.handed_over_to->value()
                       : what + ", not verified by another member";
          },
      },
      phase);
}

auto SeverityOf(const TargetPhase& phase) -> double {
  return std::visit(Overloaded{
                        [](const EjectedPhase& ejected) {
                          return ejected.diagnosis.severity;
                        },
                        [](const UnreachablePhase&) { return 1.0; },
                        [](const auto&) { return 0.0; },
                    },
                    phase);
}

auto ShareOf(const TargetPhase& phase, std::uint32_t slots, TimePoint now)
    -> double {
  return std::visit(Overloaded{
                        [](const HealthyPhase&) { return 1.0; },
                        [&](const AwaitingPermitPhase& waiting) {
                          return waiting.ramping_since
                                     ? RampShare(*waiting.ramping_since, slots,
                                                 now)
                                     : 1.0;
                        },
                        [&](const TrialPhase&) {
                          return 1.0 / std::max<std::uint32_t>(slots, 1);
                        },
                        [&](const RampingPhase& ramping) {
                          return RampShare(ramping.since, slots, now);
                        },
                        [](const auto&) { return 0.0; },
                    },
                    phase);
}

}  // namespace flamingoyoke
