#ifndef FLAMINGOYOKE_DECISION_GATEWAY_OUTCOME_COUNT_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_OUTCOME_COUNT_H_

#include "decision/gateway/target_health_estimator.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Adds `evidence` to the report to other gateways. Thread-safe for different
// `outcomes`.
auto CountOutcome(Evidence evidence, TargetOutcomes& outcomes) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_OUTCOME_COUNT_H_
