#ifndef FLAMINGOYOKE_NODE_TRAFFIC_DESCRIPTOR_WATCH_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_DESCRIPTOR_WATCH_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "node/messages.h"
#include "node/traffic/connection_part.h"

namespace flamingoyoke {

// Sets the parts of callers and targets by the limit of descriptors in force,
// which may be changed while the process runs. Not thread-safe.
class DescriptorWatch {
 public:
  // `max_callers` is the most connections of callers, and must be positive.
  // `log_part` is the component that logs.
  DescriptorWatch(Part log_part, std::uint64_t max_callers)
      : log_part_(log_part), max_callers_(max_callers) {}

  // Reads the limit, and sets both parts if it changed since the last call.
  // Connections that are open stay.
  auto Update(ConnectionPart& callers, ConnectionPart& targets) -> void;

  // Appends the parts of all uses and the connections that use them.
  auto AppendTo(const ConnectionPart& callers,
                const ConnectionPart& targets,
                std::vector<MetricSample>& samples) const -> void;

 private:
  const Part log_part_;
  const std::uint64_t max_callers_;
  std::uint64_t limit_ = 0;
  std::optional<DescriptorBudget> budget_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_DESCRIPTOR_WATCH_H_
