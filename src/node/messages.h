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
#include "decision/fleet/link_class.h"
#include "decision/fleet/member.h"
#include "decision/fleet/table_dissemination_event.h"
#include "decision/peer/peer_message.h"
#include "decision/platform/store_availability.h"
#include "runtime/mailbox.h"
#include "table/registry.h"

namespace flamingoyoke {

// Messages between the tasks of one node. Each task has one mailbox for one of
// the variants at the end of this file.

// A new snapshot from the fleet task. Replaces earlier ones.
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

// Asks the mesh task to send a message. Shed when the mailbox is full, since
// peers tolerate the loss of any message.
struct PeerMessageToSend {
  SendToPeer order;
};

// The set of peers that the mesh task keeps connections to. Replaces the
// previous set.
struct PeerEndpointsChanged {
  // Mesh address of each peer.
  std::map<VmId, std::string> endpoints;
  // Where each peer is, for the byte counters.
  std::map<VmId, LinkClass> links = {};
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<PeerEndpointsChanged> =
    MailboxPolicy::kCoalesce;

// The link to a peer is silent: reopen the connection. Sent again while the
// link stays silent.
struct PeerLinkSilent {
  VmId peer;
};

// The platform's list of VMs.
struct VmListRead {
  std::vector<Member> members;
  std::uint64_t revision = 0;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<VmListRead> =
    MailboxPolicy::kCoalesce;

// A version of the table read from the configuration service, not yet
// validated.
struct TableRead {
  std::uint32_t shard = 0;
  Revision revision;
  std::string text;
  // See TableDigest.
  StoreEra era = {};
};
// The reader continues after the version that it has read, so a dropped version
// would not be read again.
template <>
inline constexpr MailboxPolicy kMailboxPolicy<TableRead> =
    MailboxPolicy::kBackPressure;

// Whether this node is an elected reader that watches the configuration
// service, and the newest revision that it knows.
struct ReaderRoleChanged {
  bool is_reader = false;
  Revision known;
  // What this VM knows of the published store until now.
  StoreContact store = {};
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<ReaderRoleChanged> =
    MailboxPolicy::kCoalesce;

// The registry that the fleet currently uses and the version of its published
// configuration, sent to the task that reads newer versions.
struct PublishedInForce {
  std::shared_ptr<const Registry> registry;
  Revision routing;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<PublishedInForce> =
    MailboxPolicy::kCoalesce;

// The task that reads the published store started, possibly again, and knows
// neither its role nor what is in force.
struct StoreTaskStarted {};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<StoreTaskStarted> =
    MailboxPolicy::kCoalesce;

// A read of the published store succeeded, and all versions that it returned
// have been posted.
template <>
inline constexpr MailboxPolicy kMailboxPolicy<SourceRead> =
    MailboxPolicy::kCoalesce;

// Whether the published store answers this VM in its role as a reader.
struct SourceStateChanged {
  bool is_available = true;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<SourceStateChanged> =
    MailboxPolicy::kCoalesce;

// The VM's capacity for callers' requests and its current load, for the other
// VMs.
struct LoadMeasured {
  VmResources capacity;
  VmResources load;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<LoadMeasured> =
    MailboxPolicy::kCoalesce;

// The server for callers listens on its addresses.
struct CallerServerStarted {};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<CallerServerStarted> =
    MailboxPolicy::kCoalesce;
// The server for peers listens on its address.
struct PeerServerStarted {};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<PeerServerStarted> =
    MailboxPolicy::kCoalesce;

// The VM is leaving: inform peers, and stop handing out addresses and keys.
struct LeavingStarted {};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<LeavingStarted> =
    MailboxPolicy::kCoalesce;

// State of one target in the report.
struct TargetReport {
  TargetId target;
  TargetState state = TargetState::kHealthy;
  std::string reason;
  // Wall-clock time of the last state change.
  std::int64_t since_ms = 0;
};

// Report of one service on this node.
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

// Reports of all services, sent every second by the traffic task.
struct TrafficReported {
  std::vector<ServiceReport> services;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<TrafficReported> =
    MailboxPolicy::kCoalesce;

// A refused revision, with the reason shown to operators.
struct TableRefused {
  Revision revision;
  std::string reason;
};
template <>
inline constexpr MailboxPolicy kMailboxPolicy<TableRefused> =
    MailboxPolicy::kCoalesce;

// Current value of one metric, or the bucket counts of a histogram.
struct MetricSample {
  std::string name;
  std::string help;
  // Label such as the service, with a bounded set of values. Empty if the
  // metric has none.
  std::string label_name;
  std::string label_value;
  // A second label with a bounded set of values. Empty if there is none.
  std::string second_label_name;
  std::string second_label_value;
  bool is_counter = true;
  double value = 0;
  // Upper bounds and cumulative counts of a histogram; empty for others.
  std::vector<double> bounds;
  std::vector<std::uint64_t> counts;
  double sum = 0;
};

// All metrics of one task. Replaces the task's previous samples.
struct MetricsReported {
  std::string task;
  std::vector<MetricSample> samples;
};

// A finished trace span. Shed when the mailbox is full.
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
                                  StoreTaskStarted,
                                  SourceRead,
                                  SourceStateChanged,
                                  LoadMeasured,
                                  CallerServerStarted,
                                  PeerServerStarted,
                                  LeavingStarted>;
using MeshMessage =
    std::variant<PeerMessageToSend, PeerEndpointsChanged, PeerLinkSilent>;
using PlatformMessage = std::variant<ReaderRoleChanged, PublishedInForce>;
using AdminMessage = std::
    variant<FleetViewChanged, TrafficReported, TableRefused, MetricsRendered>;
using TelemetryMessage = std::variant<MetricsReported, SpanFinished>;

// The mailboxes of a node's tasks. They outlive the tasks, so that the restart
// of a task loses no messages.
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
