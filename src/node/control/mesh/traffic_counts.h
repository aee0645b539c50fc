#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_TRAFFIC_COUNTS_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_TRAFFIC_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/name_table.h"
#include "decision/fleet/link_class.h"
#include "decision/peer/peer_message_kind.h"
#include "node/messages.h"

namespace flamingoyoke {

enum class TrafficDirection { kSent, kReceived };

template <>
struct EnumNames<TrafficDirection> {
  static constexpr auto kTable = std::to_array<NameEntry<TrafficDirection>>({
      {TrafficDirection::kSent, "sent"},
      {TrafficDirection::kReceived, "received"},
  });
};
static_assert(IsDense<TrafficDirection>());

// Counts messages and their encoded bytes by direction, kind and link class.
// Not thread-safe.
class TrafficCounts {
 public:
  auto Add(TrafficDirection direction,
           PeerMessageKind kind,
           LinkClass link,
           std::size_t bytes) -> void;

  // Returns a sample of the bytes and one of the messages for each combination
  // that occurred.
  [[nodiscard]] auto Samples() const -> std::vector<MetricSample>;

  // Returns one line for the log with the kinds and link classes that occurred
  // since the last call, or an empty string.
  auto TakeSummary() -> std::string;

 private:
  struct Count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  static constexpr std::size_t kCounts = kEnumSize<TrafficDirection> *
                                         kEnumSize<PeerMessageKind> *
                                         kEnumSize<LinkClass>;

  std::array<Count, kCounts> counts_ = {};
  std::array<Count, kCounts> summarized_ = {};
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_TRAFFIC_COUNTS_H_
