#include "node/node.h"

#include <string>
#include <utility>
#include <vector>

#include "core/overloaded.h"
#include "node/control/fleet/fleet_task.h"
#include "node/control/mesh/mesh_task.h"
#include "node/control/platform/platform_task.h"
#include "node/control/store/store_task.h"
#include "node/log.h"
#include "node/messages.h"
#include "node/node_config.h"
#include "node/observe/admin/admin_task.h"
#include "node/observe/telemetry/telemetry_task.h"
#include "node/traffic/gateway/gateway_task.h"
#include "node/traffic/traffic_task.h"
#include "runtime/supervisor.h"
#include "runtime/task_host.h"

namespace flamingoyoke {
namespace {

using ControlSupervisor =
    Supervisor<FleetTask, MeshTask, PlatformTask, StoreTask>;
using ObserveSupervisor = Supervisor<AdminTask, TelemetryTask>;
using RootSupervisor =
    Supervisor<TrafficTask, GatewayTask, ControlSupervisor, ObserveSupervisor>;

// Each child has at most one pending exit message.
constexpr std::size_t kSupervisorMailboxCapacity = 16;

// Returns a callback that logs the events of the supervisor of `part`.
auto LogEvents(Part part) -> std::function<void(const SupervisorEvent&)> {
  return [part](const SupervisorEvent& event) {
    std::visit(Overloaded{
                   [&](const ChildRestarted& restarted) {
                     Log(part, LogLevel::kWarning,
                         "restarting " + restarted.child + " in " +
                             std::to_string(ToMilliseconds(restarted.delay)) +
                             " ms: " + restarted.error.detail);
                   },
                   [&](const RestartLimitExceeded& exceeded) {
                     Log(part, LogLevel::kError,
                         exceeded.child + " exceeded its restart limit: " +
                             exceeded.error.detail);
                   },
               },
               event);
  };
}

// Returns a host for task `T`. `make` creates the task at each start.
template <typename T, typename Make>
auto MakeTaskHost(Part part,
                  Mailbox<typename T::Message>& mailbox,
                  Make make,
                  TaskPlacement placement = TaskPlacement::kSupervisorLoop)
    -> std::unique_ptr<TaskHost<T>> {
  return std::make_unique<TaskHost<T>>(std::string(ToName(part)), mailbox,
                                       std::move(make), placement);
}

}  // namespace

class Node::Tree {
 public:
  Tree(const Settings& settings, std::optional<Dialect> dialect)
      : config_(settings), dialect_(std::move(dialect)) {}

  auto Start(EventLoop& loop, const OnExit& on_exit) -> void {
    root_.Start(loop, on_exit);
  }

  auto Stop(StopMode mode) -> void {
    // Lets peers stop directing callers here while traffic drains.
    mailboxes_.fleet.Post(LeavingStarted{});
    root_.RequestStop(mode);
  }

 private:
  auto MakeRoot() -> std::unique_ptr<RootSupervisor> {
    std::vector<RootSupervisor::Child> children;
    if (uses_published_store()) {
      children.emplace_back(MakeTaskHost<GatewayTask>(
          Part::kGateway, mailboxes_.traffic, [this] { return MakeGateway(); },
          TaskPlacement::kOwnThread));
    } else {
      children.emplace_back(MakeTaskHost<TrafficTask>(
          Part::kTraffic, mailboxes_.traffic, [this] { return MakeTraffic(); },
          TaskPlacement::kOwnThread));
    }
    children.emplace_back(MakeTaskHost<ControlSupervisor>(
        Part::kControl, control_mailbox_, [this] { return MakeControl(); }));
    children.emplace_back(MakeTaskHost<ObserveSupervisor>(
        Part::kObserve, observe_mailbox_, [this] { return MakeObserve(); }));
    return std::make_unique<RootSupervisor>(root_mailbox_, std::move(children),
                                            RestartLimit{},
                                            LogEvents(Part::kNode));
  }

  auto MakeControl() -> std::unique_ptr<ControlSupervisor> {
    std::vector<ControlSupervisor::Child> children;
    children.emplace_back(MakeTaskHost<FleetTask>(
        Part::kFleet, mailboxes_.fleet, [this] { return MakeFleet(); }));
    children.emplace_back(MakeTaskHost<MeshTask>(
        Part::kMesh, mailboxes_.mesh, [this] { return MakeMesh(); }));
    if (uses_published_store()) {
      children.emplace_back(MakeTaskHost<StoreTask>(
          Part::kStore, mailboxes_.platform, [this] { return MakeStore(); }));
    } else {
      children.emplace_back(
          MakeTaskHost<PlatformTask>(Part::kPlatform, mailboxes_.platform,
                                     [this] { return MakePlatform(); }));
    }
    return std::make_unique<ControlSupervisor>(
        control_mailbox_, std::move(children), RestartLimit{},
        LogEvents(Part::kControl));
  }

  auto MakeObserve() -> std::unique_ptr<ObserveSupervisor> {
    std::vector<ObserveSupervisor::Child> children;
    children.emplace_back(MakeTaskHost<AdminTask>(
        Part::kAdmin, mailboxes_.admin,
        [this] { return std::make_unique<AdminTask>(config_.Admin()); }));
    children.emplace_back(MakeTaskHost<TelemetryTask>(
        Part::kTelemetry, mailboxes_.telemetry,
        [this] {
          return std::make_unique<TelemetryTask>(config_.Telemetry(),
                                                 mailboxes_);
        },
        TelemetryPlacement()));
    return std::make_unique<ObserveSupervisor>(
        observe_mailbox_, std::move(children), RestartLimit{},
        LogEvents(Part::kObserve));
  }

  auto MakeTraffic() -> std::unique_ptr<TrafficTask> {
    return std::make_unique<TrafficTask>(
        config_.Traffic(), TrafficOutbox{.mesh = mailboxes_.mesh,
                                         .admin = mailboxes_.admin,
                                         .telemetry = mailboxes_.telemetry,
                                         .fleet = mailboxes_.fleet});
  }

  auto MakeGateway() -> std::unique_ptr<GatewayTask> {
    return std::make_unique<GatewayTask>(
        config_.Gateway(dialect_->gateway),
        TrafficOutbox{.mesh = mailboxes_.mesh,
                      .admin = mailboxes_.admin,
                      .telemetry = mailboxes_.telemetry,
                      .fleet = mailboxes_.fleet});
  }

  auto MakeStore() -> std::unique_ptr<StoreTask> {
    return std::make_unique<StoreTask>(config_.Store(), dialect_->store,
                                       mailboxes_.fleet);
  }

  auto MakeFleet() -> std::unique_ptr<FleetTask> {
    return std::make_unique<FleetTask>(
        config_.Fleet(),
        FleetOutlets{.mesh = mailboxes_.mesh,
                     .platform = mailboxes_.platform,
                     .traffic = mailboxes_.traffic,
                     .admin = mailboxes_.admin,
                     .telemetry = mailboxes_.telemetry},
        fleet_memory_);
  }

  auto MakeMesh() -> std::unique_ptr<MeshTask> {
    return std::make_unique<MeshTask>(
        config_.Mesh(), MeshOutlets{.fleet = mailboxes_.fleet,
                                    .traffic = mailboxes_.traffic,
                                    .telemetry = mailboxes_.telemetry});
  }

  auto MakePlatform() -> std::unique_ptr<PlatformTask> {
    return std::make_unique<PlatformTask>(config_.Platform(), mailboxes_.fleet);
  }

  // Writes to a file may block.
  [[nodiscard]] auto TelemetryPlacement() const -> TaskPlacement {
    return config_.Telemetry().trace_file.empty()
               ? TaskPlacement::kSupervisorLoop
               : TaskPlacement::kOwnThread;
  }

  // Whether services come from a published store, which also requires a dialect
  // to read it.
  [[nodiscard]] auto uses_published_store() const -> bool {
    return dialect_ && config_.source() == ServiceSource::kPublished;
  }

  const NodeConfig config_;
  const std::optional<Dialect> dialect_;
  Mailboxes mailboxes_;
  FleetMemory fleet_memory_;
  Mailbox<SupervisorMessage> root_mailbox_{kSupervisorMailboxCapacity};
  Mailbox<SupervisorMessage> control_mailbox_{kSupervisorMailboxCapacity};
  Mailbox<SupervisorMessage> observe_mailbox_{kSupervisorMailboxCapacity};
  // Declared last, so that it is destroyed first: its tasks use all members
  // above.
  TaskHost<RootSupervisor> root_{std::string(ToName(Part::kNode)),
                                 root_mailbox_, [this] { return MakeRoot(); },
                                 TaskPlacement::kSupervisorLoop};
};

Node::Node(const Settings& settings, std::optional<Dialect> dialect)
    : tree_(std::make_unique<Tree>(settings, std::move(dialect))) {}

Node::~Node() = default;

auto Node::Start(EventLoop& loop, const OnExit& on_exit) -> void {
  tree_->Start(loop, on_exit);
}

auto Node::Stop(StopMode mode) -> void {
  tree_->Stop(mode);
}

}  // namespace flamingoyoke
