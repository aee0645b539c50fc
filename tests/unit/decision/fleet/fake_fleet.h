#ifndef FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_FAKE_FLEET_H_
#define FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_FAKE_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "decision/fleet/entry_set.h"
#include "decision/fleet/home_index.h"
#include "decision/fleet/membership.h"
#include "decision/fleet/reader_election.h"
#include "decision/fleet/readiness_gate.h"
#include "decision/fleet/source_freshness.h"
#include "decision/fleet/table_confirmations.h"
#include "decision/fleet/table_dissemination.h"
#include "decision/quota/quota_timing.h"
#include "unit/decision/fleet/wire_size.h"

namespace flamingoyoke {

struct FakeFleetOptions {
  std::size_t nodes = 40;
  std::size_t domains = 4;
  // Failure domains are assigned to regions in order.
  std::size_t regions = 1;
  std::size_t services = 3;
  // Number of VMs in the home set of each service.
  std::uint32_t home = 4;
  std::uint64_t seed = 1;
  Duration latency = std::chrono::microseconds(500);
  // Upper limit of a random delay that reorders messages.
  Duration jitter = std::chrono::microseconds(200);
  double loss = 0;
  double duplication = 0;
  std::uint32_t shards = 1;
  // Size of a table text.
  std::size_t table_bytes = 4000;
  // Whether the source is a published store, which always returns its newest
  // table and which only readers read.
  bool is_published = false;
  // The first VMs are entries of teams with quotas, of which the first
  // kQuotaKeepers keep them.
  std::size_t quota_entries = 0;
  // Calls that one read of a published store takes, and the number of calls
  // that the store answers per second; 0 if it answers all. Calls above it are
  // refused and repeated.
  std::size_t store_pages = 1;
  std::uint64_t store_calls_per_second = 0;
  // Number of VMs that a starting VM knows; 0 if it knows all.
  std::size_t seeds = 0;
  // Maximum age of the view of a published store; zero leaves the readers that
  // the fleet elects alone to read it. If set, readers are elected as for a
  // published store.
  Duration max_view_age = Duration::zero();
};

// The real Membership and TableDissemination of many VMs, connected by an event
// queue in virtual time. The network, the platform, and the part of the fleet
// task that executes actions are fakes.
class FakeFleet {
 public:
  struct Counters {
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_messages = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t reads = 0;
    // Bytes sent to VMs of other failure domains.
    std::uint64_t cross_domain_bytes = 0;
    std::uint64_t rejected_tables = 0;
    std::uint64_t reopened_links = 0;
  };

  struct Node {
    Member self;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<TableDissemination> table_dissemination;
    std::optional<ReadinessGate> gate;
    std::optional<SourceFreshness> freshness;
    TableConfirmations confirmations;
    bool has_read_as_reader = false;
    bool is_elected = false;
    bool has_newest = false;
    // Pages of the source that were read so far.
    std::size_t pages = 0;
    TimePoint read_started;
    bool is_freshness_check_pending = false;
    HomeIndex homes;
    bool is_running = false;
    bool is_paused = false;
    bool has_list = false;
    bool is_ready = false;
    bool is_reader = false;
    bool is_refreshing = false;
    // Incremented at each start, so that events of an earlier process are
    // dropped.
    std::uint64_t generation = 0;
    std::map<VmId, std::string> endpoints;
    std::map<VmId, TimePoint> connected_at;
    std::set<VmId> home_peers;
    std::vector<VmId> two_way;
    std::vector<TableDigest> announced;
    std::vector<std::function<void()>> deferred;
    Counters counters;
    TimePoint started;
    std::optional<TimePoint> ready_at;
    // When the version in force was accepted.
    TimePoint accepted_at;
    // Whether a revision went back during the lifetime of a process.
    bool revision_regressed = false;
    bool rejected_in_force = false;
    std::size_t max_peers = 0;
  };

  using LinkFilter = std::function<bool(std::size_t from, std::size_t to)>;
  using ServiceFilter = std::function<bool(std::size_t node)>;
  using MessageFilter =
      std::function<bool(std::size_t to, const PeerMessage& message)>;

  explicit FakeFleet(FakeFleetOptions options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options_.services; ++i) {
      ServiceRow row;
      row.service = ServiceId("service-" + std::to_string(i));
      row.home = options_.home;
      rows_.push_back(row);
    }
    for (std::size_t i = 0; i < options_.nodes; ++i) {
      AddVm();
    }
  }

  // Adds a VM to the platform's list without starting it; returns its index.
  auto AddVm() -> std::size_t {
    const auto index = nodes_.size();
    Node node;
    auto& self = node.self;
    self.id = VmId("vm-" + std::to_string(index));
    const auto domain = index % options_.domains;
    self.failure_domain = FailureDomainId("fd-" + std::to_string(domain));
    self.region = RegionId(
        "r-" + std::to_string(domain * options_.regions / options_.domains));
    self.address = "10.0." + std::to_string(index / 250) + "." +
                   std::to_string(index % 250) + ":80";
    self.mesh_address = "10.0." + std::to_string(index / 250) + "." +
                        std::to_string(index % 250) + ":7000";
    by_address_[self.mesh_address] = index;
    nodes_.push_back(std::move(node));
    list_.push_back(nodes_.back().self);
    return index;
  }

  // Starts a process with a higher incarnation than all before.
  auto Start(std::size_t index) -> void {
    auto& node = nodes_[index];
    const auto counters = node.counters;
    node.self.incarnation = Incarnation(1'700'000'000'000 + ++incarnations_);
    node.membership =
        std::make_unique<Membership>(node.self, Random(random_.Next()));
    node.table_dissemination = std::make_unique<TableDissemination>(
        options_.shards, Random(random_.Next()),
        options_.is_published ? FirstRead::kBeforeReady : FirstRead::kSpread);
    node.gate.emplace(now_);
    node.freshness.reset();
    node.confirmations.Clear();
    node.has_read_as_reader = node.is_elected = false;
    node.is_freshness_check_pending = false;
    if (options_.max_view_age > Duration::zero()) {
      node.freshness.emplace(node.self.id, node.self.incarnation,
                             options_.max_view_age, Random(random_.Next()));
      node.freshness->OnStarted(now_);
    }
    node.homes = HomeIndex();
    node.is_running = true;
    node.is_paused = node.has_list = node.is_ready = false;
    node.is_reader = node.is_refreshing = false;
    ++node.generation;
    node.endpoints.clear();
    node.connected_at.clear();
    node.home_peers.clear();
    node.two_way.clear();
    node.announced.clear();
    node.deferred.clear();
    node.counters = counters;
    node.started = now_;
    node.ready_at.reset();
    node.pages = 0;
    node.has_newest = false;
    by_address_[node.self.mesh_address] = index;
    Dispatch(index, MembershipStarted{});
    Dispatch(index, TableDisseminationStarted{});
    // The platform task reads both keys once, with a random delay of up to 200
    // ms.
    Schedule(index, Duration(random_.Below(200'000)),
             [this, index] { ReadList(index); });
    if (!options_.is_published) {
      Schedule(index, Duration(random_.Below(200'000)),
               [this, index] { Read(index); });
    }
  }
  auto StartAll() -> void {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Start(i);
    }
  }
  auto Stop(std::size_t index) -> void {
    nodes_[index].is_running = false;
    ++nodes_[index].generation;
  }
  // A paused process receives messages only after it resumes.
  auto Pause(std::size_t index) -> void { nodes_[index].is_paused = true; }
  auto Resume(std::size_t index) -> void {
    auto& node = nodes_[index];
    if (!node.is_running || !node.is_paused) {
      return;
    }
    node.is_paused = false;
    node.gate->Resume(now_);
    node.is_ready = false;
    Dispatch(index, MembershipResumed{});
    Dispatch(index, TableDisseminationResumed{});
    for (auto& each : std::exchange(node.deferred, {})) {
      each();
    }
    Refresh(index);
  }
  auto Leave(std::size_t index) -> void { Dispatch(index, LeavingDeclared{}); }

  // Delivers messages only where `filter` returns true.
  auto SetLinks(LinkFilter filter) -> void { links_ = std::move(filter); }
  auto SetService(ServiceFilter filter) -> void {
    service_ = std::move(filter);
  }
  // Delivers only the messages for which `filter` returns true.
  auto SetMessages(MessageFilter filter) -> void {
    messages_ = std::move(filter);
  }
  // Drops what `from` sends to `to` until it reopens the connection.
  auto SilenceConnection(std::size_t from, std::size_t to) -> void {
    silent_.insert({from, to});
  }
  auto SetLoss(double loss) -> void { options_.loss = loss; }

  // Publishes a table; readers that reach the service read it.
  auto Publish(std::uint64_t revision, bool is_valid = true) -> void {
    published_ = Revision(revision);
    valid_ = is_valid;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].is_running && nodes_[i].is_reader) {
        Schedule(i, Milliseconds(1 + random_.Below(3)), [this, i] { Read(i); });
      }
    }
  }

  auto RunFor(Duration duration) -> void {
    const auto end = now_ + duration;
    while (!queue_.empty() && queue_.top().at <= end) {
      auto event = queue_.top();
      queue_.pop();
      now_ = event.at;
      auto& node = nodes_[event.node];
      if (!node.is_running || node.generation != event.generation) {
        continue;
      }
      if (node.is_paused) {
        node.deferred.push_back(*event.run);
        continue;
      }
      (*event.run)();
    }
    now_ = end;
  }
  // Runs until `is_done`, which is checked after each `step`, or for at most
  // `limit`. Returns the elapsed time, or nothing on timeout.
  auto RunUntil(const std::function<bool()>& is_done,
                Duration limit,
                Duration step = std::chrono::milliseconds(10))
      -> std::optional<Duration> {
    const auto begin = now_;
    while (now_ - begin < limit) {
      if (is_done()) {
        return now_ - begin;
      }
      RunFor(step);
    }
    return is_done() ? std::optional<Duration>(now_ - begin) : std::nullopt;
  }

  [[nodiscard]] auto now() const -> TimePoint { return now_; }
  [[nodiscard]] auto nodes() const -> const std::vector<Node>& {
    return nodes_;
  }
  auto nodes() -> std::vector<Node>& { return nodes_; }
  auto random() -> Random& { return random_; }

  // Returns the liveness of `subject` as seen by `observer`.
  [[nodiscard]] auto LivenessSeenBy(std::size_t observer,
                                    std::size_t subject) const -> Liveness {
    const auto* record =
        nodes_[observer].membership->list().Find(nodes_[subject].self.id);
    return record == nullptr ? Liveness::kUnproven : record->member.liveness;
  }
  [[nodiscard]] auto RevisionOf(std::size_t index) const -> Revision {
    const auto digest = nodes_[index].table_dissemination->InForce(0);
    return digest ? digest->revision : Revision();
  }
  // Whether each running node sees exactly the running nodes as alive.
  [[nodiscard]] auto HasConverged() const -> bool {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (std::size_t j = 0; nodes_[i].is_running && j < nodes_.size(); ++j) {
        if (i != j && (LivenessSeenBy(i, j) == Liveness::kAlive) !=
                          nodes_[j].is_running) {
          return false;
        }
      }
    }
    return true;
  }
  [[nodiscard]] auto AllHave(std::uint64_t revision) const -> bool {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].is_running && RevisionOf(i) != Revision(revision)) {
        return false;
      }
    }
    return true;
  }
  [[nodiscard]] auto AllReady() const -> bool {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) {
      return !node.is_running || node.is_ready;
    });
  }

 private:
  static constexpr Duration kReadRetryPeriod = std::chrono::milliseconds(250);
  static constexpr Duration kSubstituteCheckPeriod =
      std::chrono::milliseconds(100);

  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t generation = 0;
    std::shared_ptr<std::function<void()>> run;

    auto operator<(const Event& other) const -> bool {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  static auto Milliseconds(std::uint64_t count) -> Duration {
    return std::chrono::milliseconds(count);
  }

  auto Schedule(std::size_t node, Duration delay, std::function<void()> run)
      -> void {
    queue_.push({now_ + delay, ++event_count_, node, nodes_[node].generation,
                 std::make_shared<std::function<void()>>(std::move(run))});
  }

  auto Dispatch(std::size_t index, const MembershipEvent& event) -> void {
    for (const auto& action : nodes_[index].membership->OnEvent(event, now_)) {
      std::visit([&](const auto& each) { Execute(index, each); }, action);
    }
    auto& node = nodes_[index];
    node.max_peers = std::max(node.max_peers, node.membership->peer_count());
  }
  auto Dispatch(std::size_t index, const TableDisseminationEvent& event)
      -> void {
    for (const auto& action :
         nodes_[index].table_dissemination->OnEvent(event, now_)) {
      std::visit([&](const auto& each) { Execute(index, each); }, action);
    }
  }

  auto Execute(std::size_t index, const SendToPeer& action) -> void {
    auto& node = nodes_[index];
    const auto endpoint = node.endpoints.find(action.peer);
    if (endpoint == node.endpoints.end()) {
      return;
    }
    const auto envelope = std::make_shared<const PeerEnvelope>(
        PeerEnvelope{node.self.id, node.self.incarnation, action.message});
    const auto bytes = WireSize::Of(*envelope);
    // ZeroMQ framing adds 2 bytes to a short frame and 9 to a long one.
    const auto framed = bytes + (bytes < 256 ? 2 : 9);
    node.counters.sent_bytes += framed;
    ++node.counters.sent_messages;
    const auto found = by_address_.find(endpoint->second);
    if (found == by_address_.end()) {
      return;
    }
    const auto to = found->second;
    if (node.self.failure_domain != nodes_[to].self.failure_domain) {
      node.counters.cross_domain_bytes += framed;
    }
    if ((links_ && !links_(index, to)) || silent_.contains({index, to}) ||
        (messages_ && !messages_(to, action.message)) ||
        random_.Unit() < options_.loss) {
      return;
    }
    const auto copies = random_.Unit() < options_.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto ready =
          std::max(node.connected_at[action.peer] - now_, Duration::zero());
      const auto delay =
          ready + options_.latency +
          Duration(random_.Below(
              static_cast<std::uint64_t>(options_.jitter.count()) + 1));
      Schedule(to, delay, [this, to, envelope, framed] {
        nodes_[to].counters.received_bytes += framed;
        const auto* heartbeat = std::get_if<Heartbeat>(&envelope->message);
        if (nodes_[to].freshness && heartbeat != nullptr && heartbeat->source) {
          nodes_[to].confirmations.Add(*heartbeat->source, heartbeat->tables,
                                       now_);
        }
        Dispatch(to, MembershipEvent(*envelope));
        Dispatch(to, TableDisseminationEvent(*envelope));
        ApplyConfirmations(to);
        AfterMessage(to);
      });
    }
  }
  auto Execute(std::size_t index, const PeersSelected& action) -> void {
    auto& node = nodes_[index];
    for (const auto& [vm, address] : action.endpoints) {
      const auto known = node.endpoints.find(vm);
      if (known == node.endpoints.end() || known->second != address) {
        // The TCP and ZeroMQ handshakes take two round trips.
        node.connected_at[vm] = now_ + 4 * options_.latency;
      }
    }
    node.endpoints = action.endpoints;
  }
  auto Execute(std::size_t index, const ReopenLink& action) -> void {
    auto& node = nodes_[index];
    ++node.counters.reopened_links;
    const auto endpoint = node.endpoints.find(action.peer);
    if (endpoint != node.endpoints.end()) {
      silent_.erase({index, by_address_[endpoint->second]});
      node.connected_at[action.peer] = now_ + 4 * options_.latency;
    }
  }
  auto Execute(std::size_t index, const MembersChanged& /*action*/) -> void {
    RefreshSoon(index);
  }
  auto Execute(std::size_t /*index*/, const SelfSuperseded& /*action*/)
      -> void {}
  auto Execute(std::size_t index, const WakeMembershipAt& action) -> void {
    Schedule(index, action.at - now_, [this, index] {
      UpdateFreshness(index);
      Dispatch(index, MembershipTimer{});
      AfterMessage(index);
    });
  }
  auto Execute(std::size_t index, const CheckTable& action) -> void {
    const bool is_valid = action.text.front() == 'v';
    Dispatch(index, TableChecked{action.digest, is_valid, "refused"});
  }
  auto Execute(std::size_t index, const TableAccepted& action) -> void {
    auto& node = nodes_[index];
    node.accepted_at = now_;
    node.rejected_in_force |= action.text.front() != 'v';
    node.revision_regressed |=
        action.digest.revision < last_revisions_[{index, node.generation}];
    last_revisions_[{index, node.generation}] = action.digest.revision;
    RefreshSoon(index);
  }
  auto Execute(std::size_t index, const TableRejected& /*action*/) -> void {
    ++nodes_[index].counters.rejected_tables;
  }
  auto Execute(std::size_t index, const ReaderRoleSet& action) -> void {
    auto& node = nodes_[index];
    if (action.is_reader && !node.is_reader) {
      Schedule(index, Milliseconds(1 + random_.Below(200)),
               [this, index] { Read(index); });
    }
    if (node.is_reader != action.is_reader) {
      node.has_read_as_reader = false;
    }
    node.is_reader = action.is_reader;
  }
  auto Execute(std::size_t index, const WakeTableDisseminationAt& action)
      -> void {
    Schedule(index, action.at - now_,
             [this, index] { Dispatch(index, TableDisseminationTimer{}); });
  }

  auto ReadList(std::size_t index) -> void {
    ++nodes_[index].counters.reads;
    nodes_[index].has_list = true;
    const auto known = options_.seeds == 0
                           ? list_.size()
                           : std::min(options_.seeds, list_.size());
    const auto end = list_.begin() + static_cast<std::ptrdiff_t>(known);
    Dispatch(index, VmListSeeded{{list_.begin(), end}});
  }
  // Returns whether the store answers one more call within this second.
  auto TakeStoreCall() -> bool {
    if (options_.store_calls_per_second == 0) {
      return true;
    }
    if (now_ - store_second_ >= std::chrono::seconds(1)) {
      store_second_ = now_;
      store_calls_ = 0;
    }
    return ++store_calls_ <= options_.store_calls_per_second;
  }
  auto Read(std::size_t index) -> void {
    auto& node = nodes_[index];
    ++node.counters.reads;
    if (node.pages == 0) {
      node.read_started = now_;
    }
    if (!TakeStoreCall()) {
      Schedule(index, kReadRetryPeriod + Milliseconds(random_.Below(250)),
               [this, index] { ReadAgain(index); });
      return;
    }
    if (++node.pages < options_.store_pages) {
      Schedule(index, Milliseconds(4), [this, index] { ReadAgain(index); });
      return;
    }
    node.pages = 0;
    FinishRead(index);
  }
  auto ReadAgain(std::size_t index) -> void {
    if (nodes_[index].is_reader) {
      Read(index);
    } else {
      nodes_[index].pages = 0;
    }
  }
  auto FinishRead(std::size_t index) -> void {
    if (published_ == Revision() || (service_ && !service_(index))) {
      if (options_.is_published && nodes_[index].is_reader) {
        Schedule(index, kReadRetryPeriod, [this, index] { Read(index); });
      }
      return;
    }
    std::string text(options_.table_bytes, valid_ ? 'v' : 'x');
    text += std::to_string(published_.value());
    Dispatch(index, TableTextRead{0, published_, std::move(text)});
    if (options_.is_published) {
      Dispatch(index, SourceRead{nodes_[index].read_started});
      nodes_[index].has_read_as_reader = nodes_[index].is_reader;
      UpdateFreshness(index);
      Announce(index);
    }
  }

  // The fleet task does this after each message.
  auto AfterMessage(std::size_t index) -> void {
    auto& node = nodes_[index];
    auto peers = node.membership->TwoWayPeers(now_);
    if (peers != node.two_way) {
      node.two_way = std::move(peers);
      UpdateTableDissemination(index);
    }
    Announce(index);
  }
  auto UpdateTableDissemination(std::size_t index) -> void {
    auto& node = nodes_[index];
    const auto members = node.membership->Members();
    const bool knows_fleet =
        node.is_ready ||
        (node.has_list &&
         node.two_way.size() >=
             std::min(kMinTwoWayPeers, node.membership->list().other_count()));
    node.is_elected = knows_fleet && IsReader(node, members);
    bool reads = node.is_elected;
    if (node.freshness) {
      node.freshness->SetFleetSize(members.size());
      reads = node.freshness->ShouldRead(now_) || reads;
    }
    Dispatch(index, TableFleetChanged{node.two_way, reads, members.size(),
                                      ReadsFirst(node, members)});
  }
  [[nodiscard]] auto ReadsFirst(const Node& node,
                                const std::vector<Member>& members) const
      -> bool {
    constexpr std::size_t kReaderCandidates = 8;
    const auto first = ReaderVms(members, kReaderCandidates);
    return !options_.is_published ||
           std::find(first.begin(), first.end(), node.self.id) != first.end();
  }
  [[nodiscard]] auto CurrencyAge(std::size_t index) const
      -> std::optional<Duration> {
    return options_.is_published
               ? nodes_[index].table_dissemination->CurrencyAge(now_)
               : std::nullopt;
  }
  auto IsReader(const Node& node, const std::vector<Member>& members) const
      -> bool {
    constexpr std::size_t kReaders = 3;
    if (!node.freshness) {
      return IsElectedReader(node.self.id, members);
    }
    const auto readers =
        ReaderVms(members, kReaders, node.membership->SilentHomePeers(now_));
    return std::find(readers.begin(), readers.end(), node.self.id) !=
           readers.end();
  }
  auto ApplyConfirmations(std::size_t index) -> void {
    auto& node = nodes_[index];
    const auto covered = node.confirmations.TakeCovered(
        node.table_dissemination->Settled(), now_);
    for (const auto& confirmation : covered) {
      node.freshness->OnConfirmation(confirmation, now_);
    }
    if (!covered.empty()) {
      UpdateFreshness(index);
    }
  }
  // The fleet task does this on each tick and each confirmation.
  auto UpdateFreshness(std::size_t index) -> void {
    auto& node = nodes_[index];
    if (!node.freshness) {
      return;
    }
    if (node.is_reader && node.has_read_as_reader) {
      node.freshness->OnFollowing(node.is_elected, StoreEra(), std::nullopt,
                                  now_);
    }
    Dispatch(index, SourceConfirmed{node.freshness->Newest(now_),
                                    node.freshness->TakeAnnouncementDue(),
                                    CurrencyAge(index),
                                    node.table_dissemination->Digests()});
    CheckFreshnessAt(index, node.freshness->due());
  }
  auto CheckFreshnessAt(std::size_t index, TimePoint at) -> void {
    if (std::exchange(nodes_[index].is_freshness_check_pending, true)) {
      return;
    }
    Schedule(index, std::max(at - now_, Duration::zero()), [this, index] {
      auto& node = nodes_[index];
      node.is_freshness_check_pending = false;
      const auto due = node.freshness->due();
      if (due <= now_) {
        UpdateTableDissemination(index);
      }
      CheckFreshnessAt(index, std::max(due, now_ + kSubstituteCheckPeriod));
    });
  }
  auto Announce(std::size_t index) -> void {
    auto& node = nodes_[index];
    ReadinessFacts facts;
    facts.is_listening = true;
    facts.has_table = node.table_dissemination->IsComplete();
    facts.is_catching_up = node.table_dissemination->IsCatchingUp();
    facts.has_list = node.has_list;
    facts.other_vms = node.membership->list().other_count();
    facts.is_source_current = options_.is_published;
    facts.has_read_newest =
        options_.is_published && node.table_dissemination->HasReadNewest();
    if (std::exchange(node.has_newest, facts.has_read_newest) !=
            facts.has_read_newest &&
        facts.has_read_newest) {
      Dispatch(
          index,
          SourceConfirmed{
              node.freshness ? node.freshness->Newest(now_) : std::nullopt,
              true, CurrencyAge(index), node.table_dissemination->Digests()});
    }
    facts.two_way_peers = CountTrustedPeers(node);
    const bool ready = node.gate->IsReady(facts, now_);
    const auto digests = node.table_dissemination->Digests();
    if (ready == node.is_ready && digests == node.announced) {
      return;
    }
    if (ready && !node.ready_at) {
      node.ready_at = now_;
    }
    node.is_ready = ready;
    node.announced = digests;
    Dispatch(index, SelfAnnounced{ready, digests});
  }
  [[nodiscard]] auto CountTrustedPeers(const Node& node) const -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        node.two_way.begin(), node.two_way.end(), [&](const VmId& peer) {
          const auto* record = node.membership->list().Find(peer);
          return !options_.is_published ||
                 (record != nullptr && record->member.ready);
        }));
  }
  auto RefreshSoon(std::size_t index) -> void {
    auto& node = nodes_[index];
    if (!std::exchange(node.is_refreshing, true)) {
      Schedule(index, Milliseconds(10), [this, index] { Refresh(index); });
    }
  }
  auto Refresh(std::size_t index) -> void {
    auto& node = nodes_[index];
    node.is_refreshing = false;
    const auto members = node.membership->Members();
    node.homes.Update(members, rows_);
    std::set<VmId> peers;
    for (const auto& row : rows_) {
      const auto& home = node.homes.HomeOf(row.service);
      if (std::find(home.begin(), home.end(), node.self.id) != home.end()) {
        peers.insert(home.begin(), home.end());
      }
    }
    if (node.freshness) {
      constexpr std::size_t kReaderCandidates = 8;
      const auto candidates = ReaderVms(members, kReaderCandidates);
      if (std::find(candidates.begin(), candidates.end(), node.self.id) !=
          candidates.end()) {
        peers.insert(candidates.begin(), candidates.end());
      }
    }
    std::vector<VmId> keepers;
    for (std::size_t i = 0;
         index < options_.quota_entries && i < options_.quota_entries; ++i) {
      peers.insert(nodes_[i].self.id);
      if (i < kQuotaKeepers) {
        keepers.push_back(nodes_[i].self.id);
      }
    }
    peers.erase(node.self.id);
    if (peers != node.home_peers) {
      node.home_peers = peers;
      Dispatch(index, HomePeersChanged{{peers.begin(), peers.end()},
                                       keepers,
                                       index < std::min(options_.quota_entries,
                                                        kQuotaKeepers)});
    }
    UpdateTableDissemination(index);
    Announce(index);
  }

  FakeFleetOptions options_;
  Random random_;
  std::vector<Node> nodes_;
  std::vector<Member> list_;
  std::vector<ServiceRow> rows_;
  std::map<std::string, std::size_t> by_address_;
  std::map<std::pair<std::size_t, std::uint64_t>, Revision> last_revisions_;
  std::priority_queue<Event> queue_;
  std::uint64_t event_count_ = 0;
  std::uint64_t incarnations_ = 0;
  TimePoint now_ = TimePoint(std::chrono::seconds(1000));
  LinkFilter links_;
  MessageFilter messages_;
  std::set<std::pair<std::size_t, std::size_t>> silent_;
  ServiceFilter service_;
  TimePoint store_second_;
  std::uint64_t store_calls_ = 0;
  Revision published_;
  bool valid_ = true;
};

// Returns a fleet in which revision 1 is published and that has run for
// `duration` since all its VMs started.
inline auto MakeRunningFleet(const FakeFleetOptions& options,
                             Duration duration = std::chrono::seconds(10))
    -> FakeFleet {
  FakeFleet fleet(options);
  fleet.Publish(1);
  fleet.StartAll();
  fleet.RunFor(duration);
  return fleet;
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_FAKE_FLEET_H_
