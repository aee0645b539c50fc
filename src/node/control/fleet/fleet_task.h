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
#include "decision/fleet/source_freshness.h"
#include "decision/fleet/table_confirmations.h"
#include "decision/fleet/table_dissemination.h"
#include "decision/pause/pause_detector.h"
#include "node/control/fleet/fleet_config.h"
#include "node/control/fleet/published_store.h"
#include "node/control/fleet/table_compressor.h"
#include "node/control/fleet/table_store.h"
#include "node/messages.h"
#include "node/work_times.h"
#include "runtime/event_loop.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Runs the decision modules for membership, the active table and the placement
// of services, and publishes the result as a FleetView. All methods are called
// on the thread of the task.
class FleetTask {
 public:
  using Message = FleetMessage;

  // `memory` must outlive the task.
  FleetTask(FleetConfig config, FleetOutlets outlets, FleetMemory& memory);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  auto HandleMessage(PeerMessageReceived message) -> void;
  auto HandleMessage(const VmListRead& message) -> void;
  auto HandleMessage(TableRead message) -> void;
  auto HandleMessage(const StoreTaskStarted& message) -> void;
  auto HandleMessage(const SourceRead& message) -> void;
  auto HandleMessage(const SourceStateChanged& message) -> void;
  auto HandleMessage(const LoadMeasured& message) -> void;
  auto HandleMessage(const CallerServerStarted& message) -> void;
  auto HandleMessage(const PeerServerStarted& message) -> void;
  auto HandleMessage(const LeavingStarted& message) -> void;

  // Passes an event to a decision module and executes the resulting actions.
  auto ProcessEvent(const MembershipEvent& event) -> void;
  auto ProcessEvent(const TableDisseminationEvent& event) -> void;
  auto ProcessEvent(const PauseEvent& event) -> void;

  auto Execute(const SendToPeer& action) -> void;
  // Compresses a table for a peer that reads such messages.
  auto CompressFor(const VmId& peer, const TableData& table) -> void;
  // Returns the envelope with a TableData in place of a CompressedTable, or
  // nothing if that could not be expanded.
  auto ExpandTable(PeerEnvelope envelope) -> std::optional<PeerEnvelope>;
  auto Execute(const PeersSelected& action) -> void;
  auto Execute(const ReopenLink& action) -> void;
  auto Execute(const MembersChanged& action) -> void;
  auto Execute(const SelfSuperseded& action) -> void;
  auto Execute(const WakeMembershipAt& action) -> void;
  auto Execute(const CheckTable& action) -> void;
  auto Execute(const TableAccepted& action) -> void;
  auto Execute(const TableRejected& action) -> void;
  auto Execute(const ReaderRoleSet& action) -> void;
  auto Execute(const WakeTableDisseminationAt& action) -> void;
  auto Execute(const PauseDetected& action) -> void;
  auto Execute(const WakePauseDetectorAt& action) -> void;

  auto PostRole() -> void;
  auto PostInForce() -> void;
  auto SetLostSource(bool lost) -> void;
  // Confirms that this VM follows the store if it does, and passes the newest
  // confirmation to the membership.
  auto UpdateFreshness() -> void;
  // Returns whether neither this VM nor any other that it knows can read the
  // store.
  [[nodiscard]] auto IsStoreLostToAll() const -> bool;
  // Passes the newest confirmation to the membership; with `announce`, all
  // peers get it at once.
  auto ShareConfirmation(bool announce) -> void;
  // Takes over the confirmations whose versions are in force.
  auto ApplyConfirmations() -> void;
  // Returns the time since the tables in force were known to be the newest, by
  // a confirmation, an own read or the knowledge of a peer; nothing if they
  // never were.
  [[nodiscard]] auto TablesAge() const -> std::optional<Duration>;
  // Returns whether that is so long ago that newer tables may be in force
  // elsewhere.
  [[nodiscard]] auto HasOldTables() const -> bool;
  // Returns whether a newer version of the published routes may be in force
  // elsewhere.
  [[nodiscard]] auto HasOutdatedRoutes() const -> bool;
  // Publishes a view if HasOutdatedRoutes() differs from the last one, and logs
  // if HasOldTables() has changed.
  auto UpdateOutdated() -> void;
  // Logs the age of the tables in force with those of the confirmations and the
  // pulls, which tell what keeps newer ones from this VM.
  auto LogTablesAge(Duration age, bool is_old) const -> void;
  // Schedules the check for lost readers.
  auto ScheduleFreshnessCheck() -> void;
  // Announces changes of this VM's member record to the other VMs.
  auto AnnounceSelf() -> void;
  auto UpdateReadiness() -> void;
  // Returns the number of peers that count for the readiness of this VM.
  [[nodiscard]] auto CountTrustedPeers(TimePoint now) const -> std::size_t;
  auto UpdateTableDissemination() -> void;
  auto NotifyTableDissemination(const std::vector<Member>& members) -> void;
  auto PublishSoon() -> void;
  auto Publish() -> void;
  // Fills in the service definitions and the placement of services.
  auto FillView(const TableStore& store, FleetView& view) -> void;
  auto FillView(const PublishedStore& store, FleetView& view) -> void;
  // Fills in the entry VMs that callers are sent to.
  auto FillEntries(FleetView& view) -> void;
  // Returns the VMs that share state or a role with this VM.
  [[nodiscard]] auto HomePeersOf(const FleetView& view) const -> std::set<VmId>;
  auto UpdateHomePeers(const FleetView& view) -> void;
  // Returns whether this VM is one of the first to read the service source.
  [[nodiscard]] auto IsReaderCandidate(const std::vector<Member>& members) const
      -> bool;
  // Returns whether this VM reads the service source on behalf of others.
  [[nodiscard]] auto IsReader(const std::vector<Member>& members) const -> bool;
  // Returns whether this VM reads the published store in place of lost readers.
  [[nodiscard]] auto IsSubstitute(std::size_t fleet_size) -> bool;
  // Returns what this VM knows of the published store from its own reads and
  // from its peers.
  [[nodiscard]] auto KnownStoreContact() const -> StoreContact;
  [[nodiscard]] auto ActiveRevision() const -> Revision;
  // Returns the era of the published store that the registry in force is of.
  [[nodiscard]] auto ActiveEra() const -> StoreEra;
  auto ReportMetrics() -> void;

  // Batches changes into one view: copying 7,100 members takes about a
  // millisecond.
  static constexpr Duration kPublishDelay = std::chrono::milliseconds(10);

  FleetConfig config_;
  FleetOutlets outlets_;
  FleetMemory& memory_;
  TaskContext* context_ = nullptr;

  Membership membership_;
  TableDissemination table_dissemination_;
  PauseDetector pause_detector_;
  std::optional<ReadinessGate> readiness_;
  std::variant<TableStore, PublishedStore> tables_;
  TableCompressor table_compressor_;
  HomeIndex homes_;
  EntrySet entries_;

  bool has_list_ = false;
  bool is_ready_ = false;
  bool is_superseded_ = false;
  // Whether other VMs should read the published store instead of this one.
  bool lost_source_ = false;
  // Resources of this VM for callers' requests, and their current use.
  VmResources capacity_;
  VmResources load_;
  SourceFreshness freshness_;
  // The role last sent to the task that reads the source, and whether that task
  // has read the source in this role.
  ReaderRoleSet role_;
  bool has_read_as_reader_ = false;
  // Since when the store has been available by the last read of this VM.
  std::optional<TimePoint> source_available_since_;
  bool is_elected_ = false;
  // Whether the tables in force are known to be the newest since the start.
  bool has_newest_ = false;
  bool is_substitute_ = false;
  TableConfirmations confirmations_;
  // The answer of HasOldTables() that was logged last, and that of
  // HasOutdatedRoutes() in the last view.
  bool had_old_tables_ = false;
  bool had_outdated_routes_ = false;
  std::vector<TableDigest> announced_tables_;
  std::vector<VmId> two_way_peers_;
  std::set<VmId> silent_peers_;
  std::set<VmId> home_peers_;
  // The keepers of quotas if this VM is an entry and there are teams.
  std::vector<VmId> quota_keepers_;
  // Registry and version of the configuration last sent to the task that reads
  // the source.
  std::shared_ptr<const Registry> posted_registry_;
  Revision posted_routing_;
  // Delay of a view that differs in its members only.
  Duration member_view_delay_ = kPublishDelay;
  // Whether the pending view must not wait for longer than kPublishDelay.
  bool is_publish_urgent_ = false;
  std::uint64_t rejected_tables_ = 0;
  std::uint64_t unreadable_tables_ = 0;
  std::uint64_t pauses_ = 0;
  // When the handling of the present message began.
  TimePoint handling_since_;
  WorkTimes work_times_{Part::kFleet};
  // Times that this VM began to read the store as a substitute.
  std::uint64_t substitutions_ = 0;

  EventLoop::Handle membership_timer_;
  EventLoop::Handle table_timer_;
  EventLoop::Handle pause_timer_;
  EventLoop::Handle readiness_timer_;
  EventLoop::Handle publish_timer_;
  EventLoop::Handle metrics_timer_;
  EventLoop::Handle source_timer_;
  EventLoop::Handle freshness_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_TASK_H_
