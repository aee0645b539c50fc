#include "node/control/fleet/fleet_task.h"

#include <criterion/criterion.h>
#include <poll.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "decision/fleet/published_shard.h"
#include "runtime/clock.h"
#include "runtime/task_host.h"

namespace flamingoyoke {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);
constexpr const char* kTable =
    "service,route,targets,slots,connections,home,floor,deadline_ms,"
    "repeatable,key,queue,team_rate,team_burst,long_bytes,long_share,"
    "max_body_bytes,retry,hedge_ms\n"
    "stock,/stock,10.0.0.1:8080*2@a; 10.0.0.2:8080@b,2,330,4,0.6,800,"
    "yes,none,500,50,100,4096,0.25,65536,0.1,40\n";

auto MakeMember(const std::string& id) -> Member {
  Member member;
  member.id = VmId(id);
  member.incarnation = Incarnation(5);
  member.failure_domain = FailureDomainId("fd-0");
  member.region = RegionId("r-0");
  member.address = "10.0.0.9:80";
  member.mesh_address = "10.0.0.9:" + id.substr(3);
  return member;
}

// Runs a fleet task on its own thread; only the test reads its mailboxes.
class Node {
 public:
  explicit Node(const FleetConfig& config = {MakeMember("vm-1"), 1, 1}) {
    host_ = std::make_unique<TaskHost<FleetTask>>(
        "fleet", mailboxes_.fleet, [this, config] {
          return std::make_unique<FleetTask>(
              config,
              FleetOutlets{mailboxes_.mesh, mailboxes_.platform,
                           mailboxes_.traffic, mailboxes_.admin,
                           mailboxes_.telemetry},
              memory_);
        });
    Start();
  }

  auto Start() -> void {
    host_->Start([](const std::optional<Error>&) {});
  }
  auto Restart() -> void {
    host_->RequestStop(StopMode::kHard);
    host_->Join();
    host_ = std::make_unique<TaskHost<FleetTask>>(
        "fleet", mailboxes_.fleet, [this] {
          return std::make_unique<FleetTask>(
              FleetConfig{MakeMember("vm-1"), 1, 2},
              FleetOutlets{mailboxes_.mesh, mailboxes_.platform,
                           mailboxes_.traffic, mailboxes_.admin,
                           mailboxes_.telemetry},
              memory_);
        });
    Start();
  }

  // Reports that the servers for callers and for peers listen.
  auto StartServers() -> void {
    Post(CallerServerStarted{});
    Post(PeerServerStarted{});
  }

  auto Post(FleetMessage message) -> void {
    mailboxes_.fleet.Post(std::move(message));
  }

  // Waits for a view that matches the predicate. Returns null on timeout.
  template <typename Predicate>
  auto AwaitView(Predicate matches) -> std::shared_ptr<const FleetView> {
    const auto end = Now() + kTimeout;
    while (Now() < end) {
      pollfd wait = {mailboxes_.traffic.descriptor(), POLLIN, 0};
      poll(&wait, 1, 100);
      for (auto& message : mailboxes_.traffic.TakeAll()) {
        const auto* changed = std::get_if<FleetViewChanged>(&message);
        if (changed != nullptr && matches(*changed->view)) {
          return changed->view;
        }
      }
    }
    return nullptr;
  }

  // Returns the next heartbeat to vm-2, which answers it, or nothing if none is
  // sent in time.
  auto ExchangeHeartbeats() -> std::optional<Heartbeat> {
    const auto end = Now() + kTimeout;
    while (Now() < end) {
      pollfd wait = {mailboxes_.mesh.descriptor(), POLLIN, 0};
      poll(&wait, 1, 100);
      for (const auto& message : mailboxes_.mesh.TakeAll()) {
        const auto* send = std::get_if<PeerMessageToSend>(&message);
        const auto* heartbeat =
            send != nullptr ? std::get_if<Heartbeat>(&send->order.message)
                            : nullptr;
        if (heartbeat != nullptr) {
          Post(PeerMessageReceived{
              {VmId("vm-2"), Incarnation(5),
               Heartbeat{.sequence = ++peer_sequence_,
                         .heard_sequence = heartbeat->sequence}}});
          return *heartbeat;
        }
      }
    }
    return std::nullopt;
  }

  auto mailboxes() -> Mailboxes& { return mailboxes_; }

 private:
  Mailboxes mailboxes_;
  FleetMemory memory_;
  std::uint64_t peer_sequence_ = 0;
  std::unique_ptr<TaskHost<FleetTask>> host_;
};

auto IsReadyView(const FleetView& view) -> bool {
  return view.ready;
}

// Guards against callers that are sent to a VM whose address another process
// holds, and against a restart of the task that forgets the servers.
Test(fleet_task, is_ready_only_once_its_servers_listen) {
  Node node;
  node.Post(VmListRead{{MakeMember("vm-1")}, 1});
  node.Post(TableRead{0, Revision(3), kTable});
  node.Post(PeerServerStarted{});
  const auto has_table = [](const FleetView& view) {
    return view.table != nullptr;
  };
  const auto waiting = node.AwaitView(has_table);
  cr_assert(waiting);
  cr_assert_not(waiting->ready);
  node.Post(CallerServerStarted{});
  cr_assert(node.AwaitView(IsReadyView));
  node.Restart();
  node.Post(VmListRead{{MakeMember("vm-1")}, 1});
  cr_assert(node.AwaitView(IsReadyView));
}

// Guards against a fleet of a single VM that never becomes ready.
Test(fleet_task, publishes_a_ready_view_on_a_single_vm) {
  Node node;
  node.StartServers();
  node.Post(VmListRead{{MakeMember("vm-1")}, 1});
  node.Post(TableRead{0, Revision(3), kTable});
  const auto view = node.AwaitView(IsReadyView);
  cr_assert(view != nullptr);
  cr_assert(view->table->revision == Revision(3));
  cr_assert_eq(view->members.size(), 1);
  const auto& placement = view->placements.at(ServiceId("stock"));
  cr_assert(placement.home == std::vector<VmId>{VmId("vm-1")});
  cr_assert(placement.owners ==
            (std::vector<VmId>{VmId("vm-1"), VmId("vm-1")}));
}

// Guards against an invalid table that is activated or not reported.
Test(fleet_task, keeps_the_active_table_and_reports_an_invalid_one) {
  Node node;
  node.StartServers();
  node.Post(VmListRead{{MakeMember("vm-1")}, 1});
  node.Post(TableRead{0, Revision(3), kTable});
  cr_assert(node.AwaitView(IsReadyView) != nullptr);
  node.Post(TableRead{0, Revision(4), "service,route\nbroken"});
  node.Post(LeavingStarted{});
  const auto view =
      node.AwaitView([](const FleetView& each) { return each.leaving; });
  cr_assert(view != nullptr);
  cr_assert(view->table->revision == Revision(3));
  bool is_reported = false;
  for (auto& message : node.mailboxes().admin.TakeAll()) {
    if (const auto* refused = std::get_if<TableRefused>(&message)) {
      is_reported =
          refused->revision == Revision(4) && !refused->reason.empty();
    }
  }
  cr_assert(is_reported);
}

// Guards against reverting to an older table when the fleet task is restarted
// while the configuration service returns a stale revision.
Test(fleet_task, keeps_the_revision_across_a_restart) {
  Node node;
  node.StartServers();
  node.Post(VmListRead{{MakeMember("vm-1")}, 1});
  node.Post(TableRead{0, Revision(3), kTable});
  cr_assert(node.AwaitView(IsReadyView) != nullptr);
  node.Restart();
  node.Post(VmListRead{{MakeMember("vm-1")}, 1});
  node.Post(TableRead{0, Revision(2), kTable});
  const auto view = node.AwaitView(IsReadyView);
  cr_assert(view != nullptr);
  cr_assert(view->table->revision == Revision(3));
}

// Guards against VMs that are listed but never contacted.
Test(fleet_task, contacts_listed_vms) {
  Node node;
  node.StartServers();
  node.Post(VmListRead{{MakeMember("vm-1"), MakeMember("vm-2")}, 1});
  const auto end = Now() + kTimeout;
  bool is_contacted = false;
  while (!is_contacted && Now() < end) {
    pollfd wait = {node.mailboxes().mesh.descriptor(), POLLIN, 0};
    poll(&wait, 1, 100);
    for (auto& message : node.mailboxes().mesh.TakeAll()) {
      const auto* send = std::get_if<PeerMessageToSend>(&message);
      is_contacted =
          is_contacted || (send != nullptr && send->order.peer == VmId("vm-2"));
    }
  }
  cr_assert(is_contacted);
}

}  // namespace
// Guards against a reader that reads nothing after a restart of its store task.
Test(fleet_task, tells_a_restarted_store_task_its_role) {
  Node node;
  node.StartServers();
  node.Post(VmListRead{{MakeMember("vm-1")}, 1});
  node.Post(TableRead{0, Revision(3), kTable});
  cr_assert(node.AwaitView(IsReadyView) != nullptr);
  node.mailboxes().platform.TakeAll();
  node.Post(StoreTaskStarted{});
  bool has_role = false;
  const auto end = Now() + kTimeout;
  while (!has_role && Now() < end) {
    pollfd wait = {node.mailboxes().platform.descriptor(), POLLIN, 0};
    poll(&wait, 1, 100);
    for (const auto& message : node.mailboxes().platform.TakeAll()) {
      has_role = has_role || std::holds_alternative<ReaderRoleChanged>(message);
    }
  }
  cr_assert(has_role);
}

// Guards against a reader that lost the store and hides since when it has been
// available: others that take over keep removed targets for seconds then.
Test(fleet_task, a_lost_reader_confirms_nothing_while_another_vm_can_read) {
  Node node({.self = MakeMember("vm-1"),
             .source = ServiceSource::kPublished,
             .seeds = {MakeMember("vm-1"), MakeMember("vm-2")}});
  const auto since = Now() - std::chrono::seconds(60);
  std::optional<SourceConfirmation> known;
  while (!known) {
    node.Post(SourceRead{Now(), since});
    const auto heartbeat = node.ExchangeHeartbeats();
    cr_assert(heartbeat.has_value());
    known = heartbeat->source;
  }
  cr_assert(known->available_for.has_value());
  node.Post(SourceStateChanged{false});
  // Longer than two regular heartbeats.
  const auto end = Now() + std::chrono::milliseconds(2500);
  while (Now() < end) {
    const auto heartbeat = node.ExchangeHeartbeats();
    cr_assert(heartbeat && heartbeat->source);
    cr_assert(heartbeat->source->available_for.has_value());
  }
}

// Guards against a VM that takes its routes for the newest ones though a peer
// has newer ones, or though no reader has confirmed them for long.
Test(fleet_task, tells_that_its_routes_may_be_outdated) {
  Node node({.self = MakeMember("vm-1"),
             .source = ServiceSource::kPublished,
             .seeds = {MakeMember("vm-1"), MakeMember("vm-2")}});
  const auto outdated = [](const FleetView& view) {
    return view.has_outdated_routes;
  };
  const auto current = [](const FleetView& view) {
    return !view.has_outdated_routes;
  };
  cr_assert(node.AwaitView(outdated), "no reader has confirmed any");
  std::optional<SourceConfirmation> known;
  while (!known) {
    node.Post(SourceRead{Now(), Now()});
    const auto heartbeat = node.ExchangeHeartbeats();
    cr_assert(heartbeat.has_value());
    known = heartbeat->source;
  }
  cr_assert(node.AwaitView(current));
  node.Post(PeerMessageReceived{
      {VmId("vm-2"), Incarnation(5),
       Heartbeat{.sequence = 1'000'000,
                 .tables = {{kRoutingShard, Revision(9), 9}}}}});
  cr_assert(node.AwaitView(outdated), "a peer has newer ones");
}

}  // namespace flamingoyoke
