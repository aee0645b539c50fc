#ifndef FLAMINGOYOKE_NODE_MESSAGES_H_
#define FLAMINGOYOKE_NODE_MESSAGES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/fleet_view.h"
#include "decision/fleet/member.h"
#include "decision/peer/peer_message.h"
#include "runtime/mailbox.h"
#include "table/registry.h"

namespace flamingoyoke {

// Messages between the tasks of one node. Each task has one mailbox whose
// type is the variant at the end of this file.

// A new snapshot from the fleet task; later ones replace earlier ones.
struct FleetViewChanged {
  std::shared_ptr<const FleetView> view;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<FleetViewChanged> =
    MailboxPolicy::kCoalesce;

// A message from another node, decoded by the mesh task.
struct PeerMessageReceived {
  PeerEnvelope envelope;
};

// Order to the mesh task to send a message; shed when the mesh is behind, as
// every peer message may be lost.
struct PeerMessageToSend {
  SendToPeer order;
};

// Peers that the mesh task keeps connections to; replaces the earlier set.
struct PeerEndpointsChanged {
  // Mesh address of each peer.
  std::map<VmId, std::string> endpoints;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<PeerEndpointsChanged> =
    MailboxPolicy::kCoalesce;

// The platform's list of vms.
struct VmListRead {
  std::vector<Member> members;
  std::uint64_t revision = 0;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<VmListRead> =
    MailboxPolicy::kCoalesce;

// A version of the table as read from the configuration service, unchecked.
struct TableRead {
  std::uint32_t shard = 0;
  Revision revision;
  std::string text;
};
// The reader goes on behind the version that it read, so nobody would read a
// version again that was dropped.
template <>
inline constexpr MailboxPolicy kMailboxPolicy<TableRead> =
    MailboxPolicy::kBackPressure;

// Whether this node is an elected reader and watches the configuration
// service, and the newest revision known here.
struct ReaderRoleChanged {
  bool is_reader = false;
  Revision known;
  // Whether the vms that read before had no trouble with the source.
  bool source_was_well = false;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<ReaderRoleChanged> =
    MailboxPolicy::kCoalesce;

// The registry that the fleet uses, for the task that reads newer ones.
struct RegistryInForce {
  std::shared_ptr<const Registry> registry;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<RegistryInForce> =
    MailboxPolicy::kCoalesce;

// Whether this vm, as a reader, gets answers from the published store.
struct SourceStateChanged {
  bool is_available = true;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<SourceStateChanged> =
    MailboxPolicy::kCoalesce;

// What this vm has for callers' requests and what they take, for the other vms.
struct LoadMeasured {
  VmResources capacity;
  VmResources load;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<LoadMeasured> =
    MailboxPolicy::kCoalesce;

// The vm is leaving: tell peers, hand out no addresses or keys.
struct LeavingStarted {};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<LeavingStarted> =
    MailboxPolicy::kCoalesce;

// State of one target for the report.
struct TargetReport {
  TargetId target;
  TargetState state = TargetState::kHealthy;
  std::string reason;
  // Wall-clock time of the last change of state.
  std::int64_t since_ms = 0;
};

// One row of the report of this node.
struct ServiceReport {
  ServiceId service;
  Revision revision;
  double healthy_share = 1;
  double floor = 0;
  std::vector<TargetReport> targets;
  std::uint32_t slots_in_use = 0;
  std::uint32_t slots = 0;
  std::uint32_t queue_length = 0;
  std::uint64_t answered = 0;
  std::uint64_t rejected = 0;
  std::uint64_t retried = 0;
  std::uint64_t unknown = 0;
  Duration short_wait_p99 = Duration::zero();
  Duration long_wait_p99 = Duration::zero();
};

// Report rows of the traffic task, sent each second.
struct TrafficReported {
  std::vector<ServiceReport> services;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<TrafficReported> =
    MailboxPolicy::kCoalesce;

// A revision that was refused, with the reason for operators.
struct TableRefused {
  Revision revision;
  std::string reason;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<TableRefused> =
    MailboxPolicy::kCoalesce;

// One metric as kept by a task; histograms travel as bucket counts.
struct MetricSample {
  std::string name;
  std::string help;
  // Bounded label value, such as the service; empty if the metric has none.
  std::string label_name;
  std::string label_value;
  bool is_counter = true;
  double value = 0;
  // Upper bounds and cumulative counts of a histogram; empty for others.
  std::vector<double> bounds;
  std::vector<std::uint64_t> counts;
  double sum = 0;
};

// All metrics of one task; replaces that task's earlier samples.
struct MetricsReported {
  std::string task;
  std::vector<MetricSample> samples;
};

// A finished trace span; shed when the exporter is behind.
struct SpanFinished {
  std::string trace_id;
  std::string span_id;
  std::string parent_span_id;
  std::string name;
  std::int64_t start_wall_ms = 0;
  Duration duration = Duration::zero();
  std::vector<std::pair<std::string, std::string>> attributes;
};

// Merged metrics in the Prometheus text format, for the admin task.
struct MetricsRendered {
  std::string text;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<MetricsRendered> =
    MailboxPolicy::kCoalesce;

using TrafficMessage = std::variant<FleetViewChanged, PeerMessageReceived>;
using FleetMessage = std::variant<PeerMessageReceived,
                                  VmListRead,
                                  TableRead,
                                  SourceStateChanged,
                                  LoadMeasured,
                                  LeavingStarted>;
using MeshMessage = std::variant<PeerMessageToSend, PeerEndpointsChanged>;
using PlatformMessage = std::variant<ReaderRoleChanged, RegistryInForce>;
using AdminMessage = std::
    variant<FleetViewChanged, TrafficReported, TableRefused, MetricsRendered>;
using TelemetryMessage = std::variant<MetricsReported, SpanFinished>;

// The mailboxes of a node's tasks. They outlive the tasks, so that a restart
// loses no message.
struct Mailboxes {
  Mailbox<TrafficMessage> traffic{4096};
  Mailbox<FleetMessage> fleet{1024};
  Mailbox<MeshMessage> mesh{4096};
  Mailbox<PlatformMessage> platform{16};
  Mailbox<AdminMessage> admin{64};
  Mailbox<TelemetryMessage> telemetry{4096};
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_MESSAGES_H_
