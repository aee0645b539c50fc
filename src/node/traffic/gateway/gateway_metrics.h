#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_METRICS_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_METRICS_H_

#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/gateway/pool_dispatcher.h"
#include "node/messages.h"

namespace flamingoyoke {

// Appends the metrics of one service on this gateway. Not thread-safe.
auto AddServiceSamples(const ServiceId& service,
                       const PoolDispatcher& dispatcher,
                       TimePoint now,
                       std::vector<MetricSample>& samples) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_METRICS_H_
