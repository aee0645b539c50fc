#ifndef FLAMINGOYOKE_DECISION_DETECTION_FAULT_ATTRIBUTION_H_
#define FLAMINGOYOKE_DECISION_DETECTION_FAULT_ATTRIBUTION_H_

#include <array>

#include "core/name_table.h"
#include "decision/detection/rate_window.h"

namespace flamingoyoke {

// Who sent the work that an outcome comes from.
enum class OutcomeSource {
  kOwnCallers,  // Callers of this node.
  kBorrowers,   // Other nodes, which report what they saw.
};

template <>
struct EnumNames<OutcomeSource> {
  static constexpr auto kTable = std::to_array<NameEntry<OutcomeSource>>({
      {OutcomeSource::kOwnCallers, "own-callers"},
      {OutcomeSource::kBorrowers, "borrowers"},
  });
};
static_assert(IsDense<OutcomeSource>());

// Server errors since a test of one target began to rise.
struct FaultAttribution {
  // Callers of this node, on the target.
  OutcomeCounts own_on_target;
  // Callers of this node, on all other targets.
  OutcomeCounts own_on_other_targets;
  // Other nodes, on the target.
  OutcomeCounts borrowers_on_target;
  // Failure rate of healthy targets, 0 to 1, exclusive.
  double healthy_failure_rate = 0;
};

// Returns the log of how much better a failing target explains the outcomes
// than requests of this node's callers that fail on every target. 0 without
// outcomes of others to compare with. Thread-safe.
auto TargetFaultLogBayesFactor(const FaultAttribution& comparison) -> double;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_FAULT_ATTRIBUTION_H_
