#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_METRICS_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"
#include "decision/gateway/pool_dispatcher.h"
#include "node/messages.h"

namespace flamingoyoke {

// Appends the metrics of one service on this gateway. Not thread-safe.
auto AddServiceSamples(const ServiceId& service,
                       const PoolDispatcher& dispatcher,
                       TimePoint now,
                       std::vector<MetricSample>& samples) -> void;

// Sums over the services of a gateway, with labels that no service name
// multiplies. Not thread-safe.
class QueueMetrics {
 public:
  auto Add(const PoolDispatcher& dispatcher) -> void;
  // Appends the waiting requests by priority, and the refused ones by reason.
  auto AppendTo(std::vector<MetricSample>& samples) const -> void;

 private:
  // Operators choose the priorities. The last place holds all less urgent ones.
  static constexpr std::size_t kPriorities = 8;

  std::array<std::uint64_t, kPriorities> waiting_ = {};
  std::array<std::uint64_t, kEnumSize<ErrorKind>> refused_by_ = {};
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_METRICS_H_
