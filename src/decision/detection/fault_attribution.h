#ifndef FLAMINGOYOKE_DECISION_DETECTION_FAULT_ATTRIBUTION_H_
#define FLAMINGOYOKE_DECISION_DETECTION_FAULT_ATTRIBUTION_H_

#include <array>

#include "core/name_table.h"
#include "decision/detection/rate_window.h"

namespace flamingoyoke {

// The origin of the requests that an outcome belongs to.
enum class OutcomeSource {
  kOwnCallers,  // Callers of this node.
  kBorrowers,   // Callers of other nodes, which report their outcomes.
};

template <>
struct EnumNames<OutcomeSource> {
  static constexpr auto kTable = std::to_array<NameEntry<OutcomeSource>>({
      {OutcomeSource::kOwnCallers, "own-callers"},
      {OutcomeSource::kBorrowers, "borrowers"},
  });
};
static_assert(IsDense<OutcomeSource>());

// Server error counts since the CUSUM test of one target last rose from zero.
struct FaultAttribution {
  // Requests from callers of this node to the target.
  OutcomeCounts own_on_target;
  // Requests from callers of this node to all other targets.
  OutcomeCounts own_on_other_targets;
  // Requests from other nodes to the target.
  OutcomeCounts borrowers_on_target;
  // Failure rate of healthy targets, 0 to 1, exclusive.
  double healthy_failure_rate = 0;
};

// Returns the log Bayes factor of two explanations of the outcomes: the target
// fails, against requests of this node's callers that fail on every target. It
// is 0 without other outcomes to compare with. Thread-safe.
auto TargetFaultLogBayesFactor(const FaultAttribution& comparison) -> double;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_FAULT_ATTRIBUTION_H_
