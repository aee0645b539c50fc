#include "node/control/mesh/traffic_counts.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

auto ValueOf(const TrafficCounts& counts,
             const std::string& name,
             const std::string& kind,
             const std::string& link) -> double {
  for (const auto& sample : counts.Samples()) {
    if (sample.name == name && sample.label_value == kind &&
        sample.second_label_value == link) {
      return sample.value;
    }
  }
  return -1;
}

}  // namespace

// Guards against bytes that are counted for another kind, direction or link.
Test(traffic_counts, keeps_directions_kinds_and_links_apart) {
  TrafficCounts counts;
  counts.Add(TrafficDirection::kSent, PeerMessageKind::kHeartbeat,
             LinkClass::kSameDomain, 100);
  counts.Add(TrafficDirection::kSent, PeerMessageKind::kHeartbeat,
             LinkClass::kSameDomain, 20);
  counts.Add(TrafficDirection::kReceived, PeerMessageKind::kVerifyAnswer,
             LinkClass::kUnknown, 7);
  cr_assert_eq(counts.Samples().size(), 4);
  cr_assert_eq(ValueOf(counts, "flamingoyoke_mesh_sent_bytes_by_kind_total",
                       "heartbeat", "same-domain"),
               120);
  cr_assert_eq(ValueOf(counts, "flamingoyoke_mesh_sent_messages_by_kind_total",
                       "heartbeat", "same-domain"),
               2);
  cr_assert_eq(ValueOf(counts, "flamingoyoke_mesh_received_bytes_by_kind_total",
                       "verify-answer", "unknown"),
               7);
}

// Guards against log lines that repeat what was counted before.
Test(traffic_counts, summarizes_what_is_new) {
  TrafficCounts counts;
  cr_assert(counts.TakeSummary().empty());
  counts.Add(TrafficDirection::kSent, PeerMessageKind::kTableData,
             LinkClass::kOtherDomain, 50);
  cr_assert_eq(counts.TakeSummary(),
               "sent table-data other-domain 50 bytes in 1");
  cr_assert(counts.TakeSummary().empty());
}

}  // namespace flamingoyoke
