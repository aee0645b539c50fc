#ifndef FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_TASK_H_
#define FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_TASK_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "decision/fleet/entry_set.h"
#include "decision/fleet/home_index.h"
#include "decision/fleet/membership.h"
#include "decision/fleet/readiness_gate.h"
#include "decision/fleet/source_health.h"
#include "decision/fleet/table_dissemination.h"
#include "decision/pause/pause_detector.h"
#include "node/control/fleet/fleet_config.h"
#include "node/control/fleet/published_store.h"
#include "node/control/fleet/table_store.h"
#include "node/messages.h"
#include "runtime/event_loop.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Runs the decisions about the fleet: who belongs to it, which table is in
// force, and who serves what. Publishes the result as a FleetView. All methods
// are called on the thread of the task.
class FleetTask {
 public:
  using Message = FleetMessage;

  // `memory` outlives the task.
  FleetTask(FleetConfig config, FleetOutlets outlets, FleetMemory& memory);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  auto TakeMessage(PeerMessageReceived message) -> void;
  auto TakeMessage(const VmListRead& message) -> void;
  auto TakeMessage(TableRead message) -> void;
  auto TakeMessage(const SourceStateChanged& message) -> void;
  auto TakeMessage(const LoadMeasured& message) -> void;
  auto TakeMessage(const LeavingStarted& message) -> void;

  // Passes an event to a decision and carries out its actions.
  auto Decide(const MembershipEvent& event) -> void;
  auto Decide(const TableDisseminationEvent& event) -> void;
  auto Decide(const PauseEvent& event) -> void;

  auto Act(const SendToPeer& action) -> void;
  auto Act(const PeersSelected& action) -> void;
  auto Act(const MembersChanged& action) -> void;
  auto Act(const SelfSuperseded& action) -> void;
  auto Act(const WakeMembershipAt& action) -> void;
  auto Act(const CheckTable& action) -> void;
  auto Act(const TableAccepted& action) -> void;
  auto Act(const TableRejected& action) -> void;
  auto Act(const ReaderRoleSet& action) -> void;
  auto Act(const WakeTableDisseminationAt& action) -> void;
  auto Act(const PauseDetected& action) -> void;
  auto Act(const WakePauseDetectorAt& action) -> void;

  auto SetLostSource(bool lost) -> void;
  // Tells the other vms what has changed of this one.
  auto AnnounceSelf() -> void;
  auto UpdateReadiness() -> void;
  auto UpdateTableDissemination() -> void;
  auto TellTableDissemination(const std::vector<Member>& members) -> void;
  auto PublishSoon() -> void;
  auto Publish() -> void;
  // Fills in what the source of services says and who serves what.
  auto FillView(const TableStore& store, FleetView& view) -> void;
  auto FillView(const PublishedStore& store, FleetView& view) -> void;
  // Fills in the vms that callers are sent to.
  auto FillEntries(FleetView& view) -> void;
  // Vms that share state with this one, or a duty.
  [[nodiscard]] auto HomePeersOf(const FleetView& view) const -> std::set<VmId>;
  auto UpdateHomePeers(const FleetView& view) -> void;
  // Whether this vm reads the source of services for others.
  [[nodiscard]] auto IsReaderAmong(const std::vector<Member>& members) const
      -> bool;
  [[nodiscard]] auto SourceWasWell() const -> bool;
  [[nodiscard]] auto RevisionInForce() const -> Revision;
  auto ReportMetrics() -> void;

  FleetConfig config_;
  FleetOutlets outlets_;
  FleetMemory& memory_;
  TaskContext* context_ = nullptr;

  Membership membership_;
  TableDissemination table_dissemination_;
  PauseDetector pause_detector_;
  std::optional<ReadinessGate> readiness_;
  std::variant<TableStore, PublishedStore> tables_;
  HomeIndex homes_;
  EntrySet entries_;

  bool has_list_ = false;
  bool is_ready_ = false;
  bool is_superseded_ = false;
  // Whether others should read the published store in place of this vm.
  bool lost_source_ = false;
  // What this vm has for callers' requests, and what they take.
  VmResources capacity_;
  VmResources load_;
  // When this vm became ready.
  std::optional<TimePoint> ready_since_;
  SourceHealth source_health_;
  std::vector<TableDigest> announced_tables_;
  std::vector<VmId> two_way_peers_;
  std::set<VmId> silent_peers_;
  std::set<VmId> home_peers_;
  // The registry that the reading task was told last.
  std::shared_ptr<const Registry> told_registry_;
  std::uint64_t refused_tables_ = 0;
  std::uint64_t pauses_ = 0;

  EventLoop::Handle membership_timer_;
  EventLoop::Handle table_timer_;
  EventLoop::Handle pause_timer_;
  EventLoop::Handle readiness_timer_;
  EventLoop::Handle publish_timer_;
  EventLoop::Handle metrics_timer_;
  EventLoop::Handle source_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_TASK_H_
