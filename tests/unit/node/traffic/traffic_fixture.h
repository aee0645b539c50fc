#ifndef FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_TRAFFIC_FIXTURE_H_
#define FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_TRAFFIC_FIXTURE_H_

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "node/traffic/traffic_task.h"
#include "runtime/task_host.h"
#include "unit/node/traffic/test_socket.h"
#include "unit/node/traffic/upstream_fake.h"

namespace flamingoyoke {

// Runs a TrafficTask and reports its port when it listens.
class ListeningTask {
 public:
  using Message = TrafficMessage;

  ListeningTask(TrafficConfig config,
                TrafficOutbox outbox,
                std::promise<std::uint16_t>& port)
      : task_(std::move(config), outbox), port_(port) {}

  auto Start(TaskContext& context) -> Result<void> {
    BOOST_LEAF_CHECK(task_.Start(context));
    port_.set_value(task_.port());
    return {};
  }
  auto Handle(Message message) -> Result<void> {
    return task_.Handle(std::move(message));
  }
  auto Stop(StopMode mode) -> void { task_.Stop(mode); }

 private:
  TrafficTask task_;
  std::promise<std::uint16_t>& port_;
};

inline auto MakeConfig() -> TrafficConfig {
  TrafficConfig config;
  config.vm = VmId("vm-a");
  config.incarnation = Incarnation(5);
  config.address_ttl = Duration::zero();
  config.drain_margin = Duration::zero();
  return config;
}

inline auto MakeTarget(std::uint16_t port) -> TargetSpec {
  TargetSpec target;
  target.id = TargetId("127.0.0.1:" + std::to_string(port));
  target.host = "127.0.0.1";
  target.port = port;
  target.failure_domain = FailureDomainId("f1");
  return target;
}

// Returns a row with generous limits, so that results do not depend on the
// speed of the machine.
inline auto MakeRow(const char* service,
                    const std::vector<std::uint16_t>& ports) -> ServiceRow {
  ServiceRow row;
  row.service = ServiceId(service);
  row.routes = {std::string("/") + service};
  for (const auto port : ports) {
    row.targets.push_back(MakeTarget(port));
  }
  row.slots = 4;
  row.home = 1;
  row.deadline = std::chrono::seconds(20);
  return row;
}

// Runs a traffic task in a fleet of one VM.
class TrafficFixture {
 public:
  explicit TrafficFixture(std::vector<ServiceRow> rows,
                          TrafficConfig config = MakeConfig())
      : config_(std::move(config)),
        host_("traffic", mailboxes_.traffic, [this] {
          return std::make_unique<ListeningTask>(
              config_,
              TrafficOutbox{mailboxes_.mesh, mailboxes_.admin,
                            mailboxes_.telemetry, mailboxes_.fleet},
              port_promise_);
        }) {
    view_.self = config_.vm;
    view_.incarnation = config_.incarnation;
    view_.ready = true;
    view_.members.push_back(MakeMember("vm-a", 5));
    SetRows(std::move(rows));
    Publish();
    auto port = port_promise_.get_future();
    host_.Start([this](std::optional<Error> error) {
      exit_error_ = std::move(error);
      exited_.set_value();
    });
    port_ = port.get();
    exit_future_ = exited_.get_future();
  }

  static auto MakeMember(const char* id, std::uint64_t incarnation) -> Member {
    Member member;
    member.id = VmId(id);
    member.incarnation = Incarnation(incarnation);
    member.failure_domain = FailureDomainId("f1");
    member.address = "127.0.0.1:1";
    member.liveness = Liveness::kAlive;
    member.ready = true;
    return member;
  }

  auto SetRows(std::vector<ServiceRow> rows) -> void {
    view_.placements.clear();
    for (const auto& row : rows) {
      view_.placements[row.service] = {
          {config_.vm}, std::vector<VmId>(row.targets.size(), config_.vm)};
    }
    view_.table = std::make_shared<const Table>(
        Table{Revision(++revision_), std::move(rows)});
  }

  auto Publish() -> void {
    mailboxes_.traffic.Post(
        FleetViewChanged{std::make_shared<const FleetView>(view_)});
  }

  auto Connect() -> TestSocket { return TestSocket::Connect(port_); }

  // Sends a request on a new connection and returns the response.
  auto Exchange(const std::string& request) -> TestSocket::Message {
    auto socket = Connect();
    cr_assert(socket.Write(request));
    auto answer = socket.ReadMessage();
    cr_assert(answer.has_value(), "no answer to: %s", request.c_str());
    return *answer;
  }

  // Requests a new idempotency key from the node.
  auto GetKey(const std::string& service) -> std::string {
    const auto answer =
        Exchange("POST /.flamingoyoke/keys?service=" + service +
                 " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    cr_assert_eq(answer.status(), 200);
    const std::string mark = "\"key\":\"";
    const auto start = answer.body.find(mark) + mark.size();
    return answer.body.substr(start, answer.body.find('"', start) - start);
  }

  auto Stop(StopMode mode) -> void { host_.RequestStop(mode); }

  // Waits up to 20 s for the task to end. Returns whether it did.
  auto WaitForExit() -> bool {
    return exit_future_.wait_for(std::chrono::seconds(20)) ==
           std::future_status::ready;
  }
  // Whether the task is still running.
  auto IsRunning() -> bool {
    return exit_future_.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready;
  }

  auto mailboxes() -> Mailboxes& { return mailboxes_; }
  auto view() -> FleetView& { return view_; }
  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

 private:
  TrafficConfig config_;
  Mailboxes mailboxes_;
  FleetView view_;
  std::uint64_t revision_ = 0;
  std::promise<std::uint16_t> port_promise_;
  std::promise<void> exited_;
  std::future<void> exit_future_;
  std::optional<Error> exit_error_;
  std::uint16_t port_ = 0;
  TaskHost<ListeningTask> host_;
};

inline auto Get(const std::string& path, const std::string& headers = "")
    -> std::string {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

inline auto PostRequest(const std::string& path,
                        const std::string& body,
                        const std::string& headers = "") -> std::string {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Responds to each request with the request's body, or "ok" if it is empty.
inline auto EchoScript() -> UpstreamFake::Script {
  return [](const UpstreamFake::Request& request, TestSocket& socket) {
    const auto body = request.body.empty() ? std::string("ok") : request.body;
    return socket.Write("HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
  };
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_TRAFFIC_FIXTURE_H_
