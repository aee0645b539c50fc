// Tests of the traffic task on a loop that is busy with other sockets.
#include <criterion/criterion.h>

#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "unit/node/traffic/traffic_fixture.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

// Each event of the other sockets takes this long.
constexpr Duration kWork = milliseconds(5);

// Events that wait from `at` after the start of the task.
struct Backlog {
  Duration at;
  int events = 0;
};

// A traffic task whose loop has other events as well.
class BusyTask {
 public:
  using Message = TrafficMessage;

  BusyTask(TrafficConfig config,
           const std::vector<Backlog>& backlogs,
           TrafficOutbox outbox,
           std::promise<std::uint16_t>& port)
      : task_(std::move(config), outbox), backlogs_(backlogs), port_(port) {}

  auto Start(TaskContext& context) -> Result<void> {
    BOOST_LEAF_CHECK(task_.Start(context));
    for (const auto& backlog : backlogs_) {
      for (int i = 0; i < backlog.events; ++i) {
        events_.push_back(context.loop().MakeTimer(
            [] { std::this_thread::sleep_for(kWork); }));
        events_.back().Schedule(backlog.at);
      }
    }
    port_.set_value(task_.port());
    return {};
  }
  auto Handle(Message message) -> Result<void> {
    return task_.Handle(std::move(message));
  }
  auto Stop(StopMode mode) -> void { task_.Stop(mode); }

 private:
  TrafficTask task_;
  const std::vector<Backlog>& backlogs_;
  std::promise<std::uint16_t>& port_;
  std::vector<EventLoop::Handle> events_;
};

// Runs a BusyTask in a fleet of one VM with the service "stock".
class BusyNode {
 public:
  BusyNode(std::uint16_t upstream,
           std::vector<Backlog> backlogs,
           const TrafficConfig& config = MakeConfig())
      : backlogs_(std::move(backlogs)),
        host_("traffic", mailboxes_.traffic, [this, config] {
          return std::make_unique<BusyTask>(
              config, backlogs_,
              TrafficOutbox{mailboxes_.mesh, mailboxes_.admin,
                            mailboxes_.telemetry, mailboxes_.fleet},
              port_promise_);
        }) {
    const auto row = MakeRow("stock", {upstream});
    FleetView view;
    view.self = VmId("vm-a");
    view.ready = true;
    view.members.push_back(TrafficFixture::MakeMember("vm-a", 5));
    view.placements[row.service] = {{view.self}, {view.self}};
    view.table = std::make_shared<const Table>(Table{Revision(1), {row}});
    mailboxes_.traffic.Post(
        FleetViewChanged{std::make_shared<const FleetView>(view)});
    auto port = port_promise_.get_future();
    exit_future_ = exited_.get_future();
    host_.Start([this](const std::optional<Error>&) { exited_.set_value(); });
    port_ = port.get();
    started_ = Now();
  }

  auto Stop() -> void { host_.RequestStop(StopMode::kGraceful); }

  // Returns whether the task ends within `time` from now.
  auto EndsWithin(Duration time) -> bool {
    return exit_future_.wait_for(time) == std::future_status::ready;
  }

  auto Connect() -> TestSocket { return TestSocket::Connect(port_); }

  // Blocks until `time` after the start.
  auto WaitUntil(Duration time) -> void {
    std::this_thread::sleep_for(started_ + time - Now());
  }

 private:
  const std::vector<Backlog> backlogs_;
  Mailboxes mailboxes_;
  std::promise<std::uint16_t> port_promise_;
  std::uint16_t port_ = 0;
  TimePoint started_;
  std::promise<void> exited_;
  std::future<void> exit_future_;
  TaskHost<BusyTask> host_;
};

// Guards against a busy VM that takes itself for one that was paused: it
// forgets what it knows about targets and gives out no addresses for 2 s.
Test(busy_traffic, a_backlog_is_no_pause) {
  UpstreamFake upstream(EchoScript());
  BusyNode node(upstream.port(), {{milliseconds(500), 500}});
  auto caller = node.Connect();
  node.WaitUntil(milliseconds(1500));
  cr_assert(caller.Write(Get("/.flamingoyoke/addresses?service=stock")));
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_expect_eq(answer->status(), 200);
}

// Guards against a request that runs after its caller has given up, because the
// time that it waited on a busy VM doesn't count.
Test(busy_traffic, the_wait_of_a_request_counts_for_its_deadline) {
  UpstreamFake upstream(EchoScript());
  // The first request is handled between the two, the second one after them.
  BusyNode node(upstream.port(),
                {{milliseconds(500), 100}, {milliseconds(600), 200}});
  auto first = node.Connect();
  auto second = node.Connect();
  for (auto* caller : {&first, &second}) {
    cr_assert(caller->Write(Get("/stock")));
    cr_assert(caller->ReadMessage().has_value());
  }
  node.WaitUntil(milliseconds(530));
  cr_assert(first.Write(Get("/stock")));
  node.WaitUntil(milliseconds(800));
  cr_assert(second.Write(Get("/stock", "Flamingoyoke-Deadline-Ms: 500\r\n")));
  const auto answer = second.ReadMessage();
  cr_assert(answer.has_value());
  cr_expect_eq(answer->status(), 504);
  cr_expect(answer->header("Flamingoyoke-Outcome") == "not-run");
  cr_assert(first.ReadMessage().has_value());
  cr_expect_eq(upstream.executions(), 3U);
}

// Guards against a busy VM that the platform kills during its shutdown, as it
// comes to its hard limit too late.
Test(busy_traffic, the_hard_limit_of_a_shutdown_does_not_wait) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket&) {
    std::this_thread::sleep_for(std::chrono::seconds(4));
    return false;
  });
  auto config = MakeConfig();
  config.shutdown_hard_limit = milliseconds(500);
  BusyNode node(upstream.port(), {{milliseconds(300), 1000}}, config);
  auto caller = node.Connect();
  cr_assert(caller.Write(Get("/stock")));
  node.WaitUntil(milliseconds(400));
  node.Stop();
  // The last answers may take a second more.
  cr_expect(node.EndsWithin(milliseconds(3000)));
}

}  // namespace
}  // namespace flamingoyoke
