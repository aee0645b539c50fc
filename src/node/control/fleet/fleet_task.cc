#include "node/control/fleet/fleet_task.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/overloaded.h"
#include "decision/fleet/entry_set.h"
#include "decision/fleet/published_shard.h"
#include "decision/fleet/reader_election.h"
#include "decision/peer/peer_message_kind.h"
#include "decision/quota/quota_scope.h"
#include "node/log.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

// After a view of members alone, the next one waits this many times as long as
// it took, so that the members of a large fleet that start together don't use
// up a small processor share. Versions of the tables wait kPublishDelay only.
constexpr int kMemberViewPause = 8;
constexpr Duration kMaxMemberViewDelay = std::chrono::milliseconds(200);
// Kept low because each call to the store is billed. With three readers in
// different failure domains, two remain if one domain is partitioned.
constexpr std::size_t kPublishedReaders = 3;
// Number of VMs that detect the loss of the readers within about a second and
// take over. If three in five VMs fail at once, at least one candidate survives
// in 98 of 100 cases.
constexpr std::size_t kReaderCandidates = 8;
// Time after which a VM that lost the store becomes a reader again, unless it
// has lost the store for good by then.
constexpr Duration kSourceRetryDelay = std::chrono::seconds(8);
constexpr Duration kMetricsPeriod = std::chrono::seconds(5);
// Period of the check whether a substitute reader is still needed.
constexpr Duration kSubstituteCheckPeriod = std::chrono::milliseconds(100);

auto DelayUntil(TimePoint at) -> Duration {
  return std::max(at - Now(), Duration::zero());
}

auto Gauge(std::string name, std::string help, std::size_t value)
    -> MetricSample {
  return {.name = std::move(name),
          .help = std::move(help),
          .is_counter = false,
          .value = static_cast<double>(value)};
}

}  // namespace

FleetTask::FleetTask(FleetConfig config,
                     FleetOutlets outlets,
                     FleetMemory& memory)
    : config_(std::move(config)),
      outlets_(outlets),
      memory_(memory),
      membership_(config_.self, Random(config_.seed)),
      table_dissemination_(config_.table_shards,
                           Random(config_.seed + 1),
                           config_.source == ServiceSource::kPublished
                               ? FirstRead::kBeforeReady
                               : FirstRead::kSpread),
      entries_(config_.least_entries),
      capacity_(config_.self.capacity),
      freshness_(config_.self.id,
                 config_.self.incarnation,
                 config_.max_view_age,
                 Random(config_.seed + 2)) {
  if (config_.source == ServiceSource::kPublished) {
    tables_.emplace<PublishedStore>();
  }
}

auto FleetTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  auto& loop = context.loop();
  membership_timer_ = loop.MakeTimer([this] {
    const WorkTimes::Scope work(work_times_, ToName(WorkKind::kTimer));
    ProcessEvent(PauseCheck{});
    UpdateFreshness();
    ProcessEvent(MembershipTimer{});
    UpdateTableDissemination();
    UpdateReadiness();
    UpdateOutdated();
  });
  table_timer_ = loop.MakeTimer([this] {
    const WorkTimes::Scope work(work_times_, ToName(WorkKind::kTimer));
    ProcessEvent(PauseCheck{});
    ProcessEvent(TableDisseminationTimer{});
  });
  pause_timer_ = loop.MakeTimer(
      [this] { ProcessEvent(PauseTick{membership_.peer_count() > 0}); });
  readiness_timer_ = loop.MakeTimer([this] { UpdateReadiness(); });
  source_timer_ = loop.MakeTimer([this] { SetLostSource(false); });
  freshness_timer_ = loop.MakeTimer([this] {
    const WorkTimes::Scope work(work_times_, ToName(WorkKind::kTimer));
    ProcessEvent(PauseCheck{});
    NotifyTableDissemination(membership_.Members());
    ScheduleFreshnessCheck();
  });
  publish_timer_ = loop.MakeTimer([this] { Publish(); });
  metrics_timer_ =
      loop.MakePeriodicTimer(kMetricsPeriod, [this] { ReportMetrics(); });
  const auto now = Now();
  readiness_.emplace(now);
  freshness_.OnStarted(now);
  readiness_timer_.Schedule(kStartupPeerWait);
  ProcessEvent(PauseTick{});
  ProcessEvent(MembershipStarted{});
  ProcessEvent(TableDisseminationStarted{memory_.tables});
  if (config_.source == ServiceSource::kPublished) {
    HandleMessage(VmListRead{config_.seeds, 0});
  }
  PublishSoon();
  ScheduleFreshnessCheck();
  return {};
}

auto FleetTask::Handle(Message message) -> Result<void> {
  const auto* received = std::get_if<PeerMessageReceived>(&message);
  const WorkTimes::Scope work(work_times_,
                              received != nullptr
                                  ? ToName(KindOf(received->envelope.message))
                                  : ToName(WorkKind::kNodeMessage));
  handling_since_ = Now();
  // Detects a pause first, so that nothing is sent based on outdated state.
  ProcessEvent(PauseCheck{});
  std::visit([this](auto& each) { HandleMessage(std::move(each)); }, message);
  UpdateTableDissemination();
  UpdateReadiness();
  UpdateOutdated();
  return {};
}

auto FleetTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto FleetTask::HandleMessage(PeerMessageReceived message) -> void {
  const auto* heartbeat = std::get_if<Heartbeat>(&message.envelope.message);
  if (heartbeat != nullptr && heartbeat->source) {
    confirmations_.Add(*heartbeat->source, heartbeat->tables, Now());
  }
  ProcessEvent(MembershipEvent(message.envelope));
  if (auto envelope = ExpandTable(std::move(message.envelope))) {
    ProcessEvent(TableDisseminationEvent(*std::move(envelope)));
  }
  ApplyConfirmations();
}

auto FleetTask::ExpandTable(PeerEnvelope envelope)
    -> std::optional<PeerEnvelope> {
  const auto* table = std::get_if<CompressedTable>(&envelope.message);
  if (table == nullptr) {
    return envelope;
  }
  const auto digest = table->digest;
  const auto* base =
      table->base == 0 ? nullptr
                       : table_dissemination_.TextOf(digest.shard, table->base);
  std::optional<TableData> expanded;
  const auto error = CaptureInto(expanded, [&]() -> Result<TableData> {
    if (table->base != 0 && base == nullptr) {
      return Fail(ErrorKind::kMalformedMessage, "the base is not kept");
    }
    return table_compressor_.Expand(*table,
                                    base != nullptr ? *base : std::string());
  });
  if (error) {
    ++unreadable_tables_;
    Log(Part::kFleet, LogLevel::kWarning,
        "cannot read shard " + std::to_string(digest.shard) + " of revision " +
            std::to_string(digest.revision.value()) + " from " +
            envelope.sender.value() + ": " + error->detail);
    ProcessEvent(TableDisseminationEvent(TableUnreadable{digest}));
    return std::nullopt;
  }
  envelope.message = *std::move(expanded);
  return envelope;
}

auto FleetTask::HandleMessage(const VmListRead& message) -> void {
  has_list_ = true;
  ProcessEvent(VmListSeeded{message.members});
}

auto FleetTask::HandleMessage(TableRead message) -> void {
  ProcessEvent(TableTextRead{message.shard, message.revision,
                             std::move(message.text), message.era});
}

auto FleetTask::HandleMessage(const StoreTaskStarted& /*message*/) -> void {
  has_read_as_reader_ = false;
  PostInForce();
  PostRole();
}

auto FleetTask::HandleMessage(const SourceRead& message) -> void {
  ProcessEvent(TableDisseminationEvent(message));
  has_read_as_reader_ = role_.is_reader;
  source_available_since_ = message.available_since;
  UpdateFreshness();
}

auto FleetTask::HandleMessage(const SourceStateChanged& message) -> void {
  has_read_as_reader_ = has_read_as_reader_ && message.is_available;
  SetLostSource(!message.is_available);
}

auto FleetTask::UpdateFreshness() -> void {
  if (config_.source != ServiceSource::kPublished) {
    return;
  }
  const auto now = Now();
  // More reads by others do not help if no VM can read. While one can, the
  // confirmation of a reader that lost the store would hide since when it has
  // been available.
  if (role_.is_reader &&
      (has_read_as_reader_ || (is_elected_ && IsStoreLostToAll()))) {
    freshness_.OnFollowing(
        is_elected_, ActiveEra(),
        has_read_as_reader_ ? source_available_since_ : std::nullopt, now);
  }
  ShareConfirmation(freshness_.TakeAnnouncementDue());
  ScheduleFreshnessCheck();
}

auto FleetTask::ApplyConfirmations() -> void {
  if (confirmations_.empty()) {
    return;
  }
  const auto now = Now();
  for (const auto& confirmation :
       confirmations_.TakeCovered(table_dissemination_.Settled(), now)) {
    freshness_.OnConfirmation(confirmation, now);
  }
  if (freshness_.TakeAnnouncementDue()) {
    ShareConfirmation(true);
  }
  ScheduleFreshnessCheck();
}

auto FleetTask::TablesAge() const -> std::optional<Duration> {
  const auto now = Now();
  const auto confirmed = freshness_.NewestAge(now);
  const auto known = table_dissemination_.CurrencyAge(now);
  return confirmed && known ? std::min(confirmed, known)
                            : (confirmed ? confirmed : known);
}

auto FleetTask::HasOldTables() const -> bool {
  const auto age = TablesAge();
  // At `max_view_age` this VM begins to read the store itself. The other half
  // is for the read.
  return !age || *age > config_.max_view_age + config_.max_view_age / 2;
}

auto FleetTask::HasOutdatedRoutes() const -> bool {
  if (config_.source != ServiceSource::kPublished) {
    return false;
  }
  const auto pulls = table_dissemination_.PendingPulls(Now());
  return HasOldTables() ||
         std::any_of(pulls.begin(), pulls.end(), [](const PendingPull& pull) {
           return pull.wanted.shard == kRoutingShard;
         });
}

auto FleetTask::UpdateOutdated() -> void {
  if (HasOutdatedRoutes() != had_outdated_routes_) {
    PublishSoon();
  }
  const auto age = TablesAge();
  const bool is_old = HasOldTables();
  if (age && std::exchange(had_old_tables_, is_old) != is_old) {
    LogTablesAge(*age, is_old);
  }
}

auto FleetTask::LogTablesAge(Duration age, bool is_old) const -> void {
  const auto now = Now();
  const auto heard = confirmations_.NewestAge(now).value_or(age);
  std::string text =
      "the tables in force were " + std::string(is_old ? "last" : "again") +
      " confirmed as the newest " + std::to_string(ToMilliseconds(age)) +
      " ms ago; a reader confirmed " + std::to_string(ToMilliseconds(heard)) +
      " ms ago; configuration " + std::to_string(ActiveRevision().value());
  for (const auto& pull : table_dissemination_.PendingPulls(now)) {
    text += "; shard " + std::to_string(pull.wanted.shard) + " of revision " +
            std::to_string(pull.wanted.revision.value()) + " announced " +
            std::to_string(ToMilliseconds(pull.announced_ago)) +
            " ms ago, pulled " + std::to_string(pull.pulls) + " times";
  }
  Log(Part::kFleet, is_old ? LogLevel::kWarning : LogLevel::kInfo, text);
}

auto FleetTask::IsStoreLostToAll() const -> bool {
  return lost_source_ && !AnyCanRead(membership_.Members(), silent_peers_);
}

auto FleetTask::ShareConfirmation(bool announce) -> void {
  const auto now = Now();
  ProcessEvent(MembershipEvent(SourceConfirmed{
      freshness_.Newest(now), announce, table_dissemination_.CurrencyAge(now),
      table_dissemination_.Digests()}));
}

auto FleetTask::ScheduleFreshnessCheck() -> void {
  if (config_.source == ServiceSource::kPublished) {
    const auto delay = DelayUntil(freshness_.due());
    freshness_timer_.Schedule(
        is_substitute_ ? std::max(delay, kSubstituteCheckPeriod) : delay);
  }
}

auto FleetTask::SetLostSource(bool lost) -> void {
  if (lost) {
    source_timer_.Schedule(kSourceRetryDelay);
  } else {
    source_timer_.Cancel();
  }
  if (std::exchange(lost_source_, lost) == lost) {
    return;
  }
  AnnounceSelf();
  PublishSoon();
}

auto FleetTask::AnnounceSelf() -> void {
  ProcessEvent(SelfAnnounced{is_ready_, announced_tables_, lost_source_,
                             capacity_, load_});
}

auto FleetTask::HandleMessage(const LoadMeasured& message) -> void {
  capacity_ = message.capacity;
  load_ = message.load;
  Log(Part::kFleet, LogLevel::kInfo,
      "callers' requests use " + std::to_string(load_.processor_millicores) +
          " of " + std::to_string(capacity_.processor_millicores) +
          " millicores and " + std::to_string(load_.link_kbps) + " of " +
          std::to_string(capacity_.link_kbps) + " kbit/s");
  AnnounceSelf();
  PublishSoon();
}

auto FleetTask::HandleMessage(const CallerServerStarted& /*message*/) -> void {
  memory_.serves_callers = true;
}

auto FleetTask::HandleMessage(const PeerServerStarted& /*message*/) -> void {
  memory_.serves_peers = true;
}

auto FleetTask::HandleMessage(const LeavingStarted& /*message*/) -> void {
  ProcessEvent(LeavingDeclared{});
  Publish();
}

auto FleetTask::ProcessEvent(const MembershipEvent& event) -> void {
  for (const auto& action : membership_.OnEvent(event, Now())) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
}

auto FleetTask::ProcessEvent(const TableDisseminationEvent& event) -> void {
  for (const auto& action : table_dissemination_.OnEvent(event, Now())) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
}

auto FleetTask::ProcessEvent(const PauseEvent& event) -> void {
  for (const auto& action : pause_detector_.OnEvent(event, Now())) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
}

auto FleetTask::Execute(const SendToPeer& action) -> void {
  const auto* table = std::get_if<TableData>(&action.message);
  if (table != nullptr && table->base) {
    CompressFor(action.peer, *table);
    return;
  }
  outlets_.mesh.Post(PeerMessageToSend{action});
}

auto FleetTask::CompressFor(const VmId& peer, const TableData& table) -> void {
  std::optional<CompressedTable> compressed;
  const auto error = CaptureInto(
      compressed, [&] { return table_compressor_.Compress(table); });
  if (error) {
    Log(Part::kFleet, LogLevel::kWarning, error->detail);
    outlets_.mesh.Post(PeerMessageToSend{
        SendToPeer{peer, TableData{table.digest, table.text}}});
    return;
  }
  outlets_.mesh.Post(
      PeerMessageToSend{SendToPeer{peer, *std::move(compressed)}});
}

auto FleetTask::Execute(const PeersSelected& action) -> void {
  outlets_.mesh.Post(PeerEndpointsChanged{action.endpoints, action.links});
}

auto FleetTask::Execute(const ReopenLink& action) -> void {
  outlets_.mesh.Post(PeerLinkSilent{action.peer});
}

auto FleetTask::Execute(const MembersChanged& /*action*/) -> void {
  if (!publish_timer_.IsPending()) {
    publish_timer_.Schedule(member_view_delay_);
    is_publish_urgent_ = false;
  }
}

auto FleetTask::Execute(const SelfSuperseded& action) -> void {
  if (std::exchange(is_superseded_, true)) {
    return;
  }
  Log(Part::kFleet, LogLevel::kError,
      "another process of this VM has started with incarnation " +
          std::to_string(action.incarnation.value()) +
          "; this process no longer accepts callers");
  PublishSoon();
}

auto FleetTask::Execute(const WakeMembershipAt& action) -> void {
  membership_timer_.Schedule(DelayUntil(action.at));
}

auto FleetTask::Execute(const CheckTable& action) -> void {
  const auto reason = std::visit(
      [&](auto& store) { return store.Check(action.digest, action.text); },
      tables_);
  ProcessEvent(TableChecked{action.digest, !reason, reason.value_or(""),
                            Now() - handling_since_});
}

auto FleetTask::Execute(const TableAccepted& action) -> void {
  std::visit([&](auto& store) { store.Activate(action.digest); }, tables_);
  const auto same_shard = [&](const TableData& table) {
    return table.digest.shard == action.digest.shard;
  };
  auto& tables = memory_.tables;
  tables.erase(std::remove_if(tables.begin(), tables.end(), same_shard),
               tables.end());
  tables.push_back({action.digest, action.text});
  freshness_.OnEra(ActiveEra());
  Log(Part::kFleet, LogLevel::kInfo,
      "activated shard " + std::to_string(action.digest.shard) +
          " of revision " + std::to_string(action.digest.revision.value()) +
          " of era " + std::to_string(action.digest.era.value()) + ": " +
          std::to_string(action.text.size()) + " bytes from " +
          (action.origin.peer.empty() ? "its source"
                                      : action.origin.peer.value()) +
          ", announced " +
          std::to_string(ToMilliseconds(action.origin.since_announced)) +
          " ms ago, pulled " + std::to_string(action.origin.pulls) + " times");
  UpdateReadiness();
  PublishSoon();
}

auto FleetTask::Execute(const TableRejected& action) -> void {
  ++rejected_tables_;
  Log(Part::kFleet, LogLevel::kWarning,
      "rejected table revision " +
          std::to_string(action.digest.revision.value()) + ": " +
          action.reason);
  outlets_.admin.Post(TableRefused{action.digest.revision, action.reason});
}

auto FleetTask::Execute(const ReaderRoleSet& action) -> void {
  if (role_.is_reader != action.is_reader) {
    has_read_as_reader_ = false;
  }
  role_ = action;
  PostRole();
}

auto FleetTask::PostRole() -> void {
  outlets_.platform.Post(
      ReaderRoleChanged{role_.is_reader, role_.known, KnownStoreContact()});
}

auto FleetTask::PostInForce() -> void {
  outlets_.platform.Post(PublishedInForce{posted_registry_, posted_routing_});
}

auto FleetTask::Execute(const WakeTableDisseminationAt& action) -> void {
  table_timer_.Schedule(DelayUntil(action.at));
}

auto FleetTask::Execute(const PauseDetected& action) -> void {
  ++pauses_;
  Log(Part::kFleet, LogLevel::kWarning,
      "the process was paused for " +
          std::to_string(ToMilliseconds(action.duration)) + " ms");
  readiness_->Resume(Now());
  freshness_.OnStarted(Now());
  confirmations_.Clear();
  readiness_timer_.Schedule(kResumePeerWait);
  ProcessEvent(MembershipResumed{});
  ProcessEvent(TableDisseminationResumed{});
  two_way_peers_.clear();
  UpdateReadiness();
  Publish();
}

auto FleetTask::Execute(const WakePauseDetectorAt& action) -> void {
  pause_timer_.Schedule(DelayUntil(action.at));
}

auto FleetTask::UpdateReadiness() -> void {
  const auto now = Now();
  ReadinessFacts facts;
  facts.is_listening = memory_.serves_callers && memory_.serves_peers;
  facts.has_table = table_dissemination_.IsComplete();
  facts.is_catching_up = table_dissemination_.IsCatchingUp();
  facts.has_list = has_list_;
  facts.other_vms = membership_.list().other_count();
  // A published store always returns its newest state, whereas a configuration
  // service may be stale.
  facts.is_source_current = config_.source == ServiceSource::kPublished;
  facts.has_read_newest =
      facts.is_source_current && table_dissemination_.HasReadNewest();
  const bool was_current =
      std::exchange(has_newest_, table_dissemination_.HasReadNewest());
  if (has_newest_ && !was_current) {
    // Peers that started at the same time wait for it.
    ShareConfirmation(true);
  }
  facts.two_way_peers = CountTrustedPeers(now);
  const bool ready = readiness_->IsReady(facts, now) && !is_superseded_;
  const auto digests = table_dissemination_.Digests();
  if (ready == is_ready_ && digests == announced_tables_) {
    return;
  }
  is_ready_ = ready;
  announced_tables_ = digests;
  AnnounceSelf();
  PublishSoon();
}

auto FleetTask::CountTrustedPeers(TimePoint now) const -> std::size_t {
  const auto peers = membership_.TwoWayPeers(now);
  if (config_.source == ServiceSource::kTable) {
    return peers.size();
  }
  return static_cast<std::size_t>(
      std::count_if(peers.begin(), peers.end(), [this](const VmId& peer) {
        const auto* record = membership_.list().Find(peer);
        return record != nullptr && record->member.ready;
      }));
}

auto FleetTask::UpdateTableDissemination() -> void {
  const auto now = Now();
  auto peers = membership_.TwoWayPeers(now);
  auto silent = membership_.SilentHomePeers(now);
  if (peers == two_way_peers_ && silent == silent_peers_) {
    return;
  }
  two_way_peers_ = std::move(peers);
  silent_peers_ = std::move(silent);
  const auto members = membership_.Members();
  NotifyTableDissemination(members);
}

auto FleetTask::NotifyTableDissemination(const std::vector<Member>& members)
    -> void {
  // A node that knows no other member would elect itself, and so would all that
  // start together.
  const bool knows_fleet =
      is_ready_ ||
      (has_list_ &&
       two_way_peers_.size() >=
           std::min(kMinTwoWayPeers, membership_.list().other_count()));
  is_elected_ = knows_fleet && IsReader(members);
  const bool reads = is_elected_ || IsSubstitute(members.size());
  ProcessEvent(TableFleetChanged{two_way_peers_, reads, members.size(),
                                 IsReaderCandidate(members)});
}

auto FleetTask::PublishSoon() -> void {
  if (!publish_timer_.IsPending() || !is_publish_urgent_) {
    publish_timer_.Schedule(kPublishDelay);
    is_publish_urgent_ = true;
  }
}

auto FleetTask::Publish() -> void {
  const WorkTimes::Scope work(work_times_, ToName(WorkKind::kPublish));
  publish_timer_.Cancel();
  const auto begin = Now();
  auto view = std::make_shared<FleetView>();
  view->self = config_.self.id;
  view->incarnation = config_.self.incarnation;
  view->members = membership_.Members();
  view->cut_off = membership_.CutOff(Now());
  view->ready = is_ready_ && !is_superseded_;
  view->leaving = membership_.self().leaving || is_superseded_;
  std::visit([&](const auto& store) { FillView(store, *view); }, tables_);
  UpdateHomePeers(*view);
  two_way_peers_ = membership_.TwoWayPeers(Now());
  NotifyTableDissemination(view->members);
  const std::shared_ptr<const FleetView> published = std::move(view);
  outlets_.traffic.Post(FleetViewChanged{published});
  outlets_.admin.Post(FleetViewChanged{published});
  member_view_delay_ = std::clamp(kMemberViewPause * (Now() - begin),
                                  kPublishDelay, kMaxMemberViewDelay);
}

auto FleetTask::FillView(const TableStore& store, FleetView& view) -> void {
  view.table = store.table();
  if (view.table) {
    homes_.Update(view.members, view.table->rows);
    view.placements = homes_.PlacementsOf(view.self, view.table->rows);
  }
}

auto FleetTask::FillView(const PublishedStore& store, FleetView& view) -> void {
  view.routing = store.routing();
  view.registry = store.registry();
  had_outdated_routes_ = HasOutdatedRoutes();
  view.has_outdated_routes = had_outdated_routes_;
  FillEntries(view);
  const auto routing = view.routing ? view.routing->revision : Revision();
  if (view.registry != posted_registry_ || routing != posted_routing_) {
    posted_registry_ = view.registry;
    posted_routing_ = routing;
    PostInForce();
  }
}

auto FleetTask::FillEntries(FleetView& view) -> void {
  const auto now = Now();
  view.entries = entries_.Update(view.members, now);
  std::set<VmId> linked;
  for (const auto& peer : membership_.TwoWayPeers(now)) {
    linked.insert(peer);
  }
  for (const auto& entry : view.entries) {
    if (linked.contains(entry.vm)) {
      view.linked_entries.push_back(entry.vm);
    }
  }
  std::sort(view.linked_entries.begin(), view.linked_entries.end());
}

auto FleetTask::HomePeersOf(const FleetView& view) const -> std::set<VmId> {
  std::set<VmId> peers;
  for (const auto& [service, placement] : view.placements) {
    peers.insert(placement.home.begin(), placement.home.end());
  }
  if (view.IsEntry(view.self)) {
    for (const auto& entry : view.entries) {
      peers.insert(entry.vm);
    }
  }
  if (config_.source == ServiceSource::kPublished) {
    const auto candidates = ReaderVms(view.members, kReaderCandidates);
    if (std::find(candidates.begin(), candidates.end(), view.self) !=
        candidates.end()) {
      peers.insert(candidates.begin(), candidates.end());
    }
  }
  peers.erase(view.self);
  return peers;
}

auto FleetTask::IsReaderCandidate(const std::vector<Member>& members) const
    -> bool {
  if (config_.source == ServiceSource::kTable) {
    return true;
  }
  const auto candidates = ReaderVms(members, kReaderCandidates);
  return std::find(candidates.begin(), candidates.end(), config_.self.id) !=
         candidates.end();
}

auto FleetTask::IsReader(const std::vector<Member>& members) const -> bool {
  if (config_.source == ServiceSource::kTable) {
    return IsElectedReader(config_.self.id, members);
  }
  const auto readers = ReaderVms(members, kPublishedReaders, silent_peers_);
  return std::find(readers.begin(), readers.end(), config_.self.id) !=
         readers.end();
}

auto FleetTask::IsSubstitute(std::size_t fleet_size) -> bool {
  if (config_.source != ServiceSource::kPublished) {
    return false;
  }
  const auto now = Now();
  freshness_.SetFleetSize(fleet_size);
  const bool was_substitute = is_substitute_;
  is_substitute_ = freshness_.ShouldRead(now);
  if (is_substitute_ && !was_substitute) {
    ++substitutions_;
    Log(Part::kFleet, LogLevel::kWarning,
        "no reader of the store confirmed the tables in force for " +
            std::to_string(ToMilliseconds(freshness_.Age(now))) +
            " ms; reading it as a substitute");
  } else if (was_substitute && !is_substitute_) {
    Log(Part::kFleet, LogLevel::kInfo,
        "another reader follows the store; no longer a substitute");
  }
  return is_substitute_;
}

auto FleetTask::KnownStoreContact() const -> StoreContact {
  const auto now = Now();
  StoreContact contact{.available_since = freshness_.AvailableSince()};
  if (const auto age = table_dissemination_.CurrencyAge(now)) {
    contact.answered_at = now - *age;
  }
  return contact;
}

auto FleetTask::ActiveRevision() const -> Revision {
  return std::visit(
      Overloaded{
          [](const TableStore& store) {
            return store.table() ? store.table()->revision : Revision();
          },
          [](const PublishedStore& store) {
            return store.routing() ? store.routing()->revision : Revision();
          },
      },
      tables_);
}

auto FleetTask::ActiveEra() const -> StoreEra {
  return table_dissemination_.InForce(kRegistryShard)
      .value_or(TableDigest())
      .era;
}

auto FleetTask::UpdateHomePeers(const FleetView& view) -> void {
  const auto peers = HomePeersOf(view);
  std::vector<VmId> keepers;
  if (view.routing && view.routing->teams && view.IsEntry(view.self)) {
    keepers = QuotaKeepers(view.entries);
  }
  if (peers == home_peers_ && keepers == quota_keepers_) {
    return;
  }
  home_peers_ = peers;
  quota_keepers_ = keepers;
  const bool is_keeper =
      std::find(keepers.begin(), keepers.end(), view.self) != keepers.end();
  ProcessEvent(HomePeersChanged{
      {peers.begin(), peers.end()}, std::move(keepers), is_keeper});
}

auto FleetTask::ReportMetrics() -> void {
  std::size_t alive = 0;
  for (const auto& member : membership_.Members()) {
    alive += member.liveness == Liveness::kAlive ? 1 : 0;
  }
  MetricsReported metrics = {
      .task = std::string(ToName(Part::kFleet)),
      .samples = {
          Gauge("flamingoyoke_fleet_alive_vms",
                "Vms that this vm holds for alive, itself included.", alive),
          Gauge("flamingoyoke_fleet_peers", "Peers with a connection.",
                membership_.peer_count()),
          Gauge("flamingoyoke_fleet_cut_off_peers",
                "Alive peers without a two-way link.",
                membership_.CutOff(Now()).size()),
          Gauge("flamingoyoke_fleet_table_revision",
                "Revision of the table in force, 0 if there is none.",
                ActiveRevision().value()),
          Gauge("flamingoyoke_fleet_store_era",
                "Era of the published store that the registry in force is of.",
                ActiveEra().value()),
          {.name = "flamingoyoke_fleet_refused_tables_total",
           .help = "Versions of the table that failed their check.",
           .value = static_cast<double>(rejected_tables_)},
          {.name = "flamingoyoke_fleet_unreadable_tables_total",
           .help = "Tables of peers that could not be expanded.",
           .value = static_cast<double>(unreadable_tables_)},
          {.name = "flamingoyoke_fleet_source_age_seconds",
           .help = "Time since a reader of the store last confirmed.",
           .is_counter = false,
           .value = ToSeconds(freshness_.Age(Now()))},
          {.name = "flamingoyoke_fleet_tables_age_seconds",
           .help = "Time since a reader confirmed the tables in force as the"
                   " newest, 0 if none has.",
           .is_counter = false,
           .value = ToSeconds(TablesAge().value_or(Duration::zero()))},
          {.name = "flamingoyoke_fleet_substitutions_total",
           .help = "Times that this vm read the store for lost readers.",
           .value = static_cast<double>(substitutions_)},
          {.name = "flamingoyoke_fleet_pauses_total",
           .help = "Times that the process was paused.",
           .value = static_cast<double>(pauses_)},
          {.name = "flamingoyoke_thread_processor_seconds_total",
           .help = "Processor time of the thread that runs the task.",
           .label_name = "task",
           .label_value = std::string(ToName(Part::kFleet)),
           .value = ToSeconds(ThreadProcessorTime())},
      }};
  work_times_.AppendTo(metrics.samples);
  work_times_.LogSummary();
  outlets_.telemetry.Post(std::move(metrics));
}

}  // namespace flamingoyoke
