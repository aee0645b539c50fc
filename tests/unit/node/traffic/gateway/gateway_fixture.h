#ifndef FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_GATEWAY_GATEWAY_FIXTURE_H_
#define FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_GATEWAY_GATEWAY_FIXTURE_H_

#include <criterion/criterion.h>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "node/traffic/gateway/gateway_task.h"
#include "runtime/task_host.h"
#include "unit/node/traffic/test_socket.h"
#include "unit/node/traffic/upstream_fake.h"

namespace flamingoyoke {

// Wraps GatewayTask and publishes its port once the task listens.
class ListeningGateway {
 public:
  using Message = TrafficMessage;

  ListeningGateway(GatewayConfig config,
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
  GatewayTask task_;
  std::promise<std::uint16_t>& port_;
};

inline auto MakeGatewayConfig() -> GatewayConfig {
  GatewayConfig config;
  config.traffic.vm = VmId("vm-a");
  config.traffic.address_ttl = Duration::zero();
  config.traffic.drain_margin = Duration::zero();
  config.dialect.headers = {.request_id = "Id",
                            .remaining_time_ms = "Left-Ms",
                            .signature = "Signed",
                            .expected_target = "Expect-Target",
                            .not_run = "Not-Run",
                            .leaving = "Leaving",
                            .team_key = "Key",
                            .team = "Team",
                            .load = "Load"};
  config.dialect.not_run_statuses = {408, 421, 429, 503};
  config.dialect.read_load =
      [](std::string_view text) -> std::optional<StatedLoad> {
    return text == "full" ? StatedLoad{4, 4, 4} : StatedLoad{1, 0, 4};
  };
  config.dialect.readiness_path = "/-/ready";
  config.dialect.addresses_path = "/-/addresses";
  config.dialect.write_addresses = [](const std::vector<std::string>& addresses,
                                      Duration) { return addresses.front(); };
  config.limits = {.floor_share = 0.7, .retry_share = 0.2, .min_retries = 10};
  return config;
}

// A gateway with one repeatable, one non-repeatable and one public route to the
// given upstreams. Only the public one needs no key if there are teams.
class GatewayFixture {
 public:
  explicit GatewayFixture(const std::vector<std::uint16_t>& upstreams,
                          const GatewayConfig& config = MakeGatewayConfig(),
                          bool is_ready = true,
                          std::uint32_t slots = 4)
      : slots_(slots), host_("gateway", mailboxes_.traffic, [this, config] {
          return std::make_unique<ListeningGateway>(
              config,
              TrafficOutbox{mailboxes_.mesh, mailboxes_.admin,
                            mailboxes_.telemetry, mailboxes_.fleet},
              port_promise_);
        }) {
    auto port = port_promise_.get_future();
    exit_future_ = exited_.get_future();
    host_.Start([this](const std::optional<Error>&) { exited_.set_value(); });
    port_ = port.get();
    Publish(upstreams, is_ready);
  }

  auto Stop(StopMode mode) -> void { host_.RequestStop(mode); }

  // Waits up to 20 s for the task to end. Returns whether it did.
  auto WaitForExit() -> bool {
    return exit_future_.wait_for(std::chrono::seconds(20)) ==
           std::future_status::ready;
  }

  // `receive_buffer` is the size of the kernel's buffer in bytes; 0 keeps the
  // default.
  auto Connect(int receive_buffer = 0) -> TestSocket {
    return TestSocket::Connect(port_, receive_buffer);
  }

  // With `peers`, which are entry VMs too, there is a second service "s2" with
  // the same upstreams at the route "/other/".
  auto Publish(const std::vector<std::uint16_t>& upstreams,
               bool is_ready = true,
               const std::optional<std::vector<Team>>& teams = {},
               const std::vector<VmId>& peers = {},
               bool has_outdated_routes = false) -> void {
    auto view = std::make_shared<FleetView>();
    view->has_outdated_routes = has_outdated_routes;
    view->self = VmId("vm-a");
    view->ready = is_ready;
    Member self;
    self.id = view->self;
    self.address = "10.0.0.1:80";
    view->members = {self};
    view->entries = {{view->self}};
    for (const auto& peer : peers) {
      view->entries.push_back({peer});
    }
    view->linked_entries = peers;
    Routing routing;
    routing.revision = Revision(3);
    routing.services = {{ServiceId("s"), "/health", 100}};
    routing.limits.max_body_bytes = 16 << 20;
    for (const auto repeatability :
         {Repeatability::kOnce, Repeatability::kRepeatable}) {
      Route route;
      route.name = std::string(ToName(repeatability));
      route.host = "h";
      route.prefix = "/" + route.name + "/";
      route.repeatability = repeatability;
      route.timeout = std::chrono::seconds(20);
      route.objective = std::chrono::seconds(5);
      route.max_attempts = 2;
      route.shares = {{ServiceId("s"), 1}};
      routing.routes.push_back(route);
    }
    auto open = routing.routes.back();
    open.name = "public";
    open.prefix = "/public/";
    open.is_public = true;
    routing.routes.push_back(open);
    routing.teams = teams;
    if (!peers.empty()) {
      routing.services.push_back({ServiceId("s2"), "/health", 100});
      auto other = routing.routes.front();
      other.name = "other";
      other.prefix = "/other/";
      other.shares = {{ServiceId("s2"), 1}};
      routing.routes.push_back(other);
    }
    Registry registry;
    for (const auto upstream : upstreams) {
      RegisteredTarget target;
      target.id = TargetId("t" + std::to_string(upstream));
      target.service = ServiceId("s");
      target.host = "127.0.0.1";
      target.port = upstream;
      target.slots = slots_;
      registry.targets.push_back(target);
      if (!peers.empty()) {
        target.id = TargetId("u" + std::to_string(upstream));
        target.service = ServiceId("s2");
        registry.targets.push_back(target);
      }
    }
    view->routing = std::make_shared<const Routing>(routing);
    view->registry = std::make_shared<const Registry>(registry);
    mailboxes_.traffic.Post(FleetViewChanged{view});
  }

  // Delivers a message of another VM.
  auto Receive(PeerEnvelope envelope) -> void {
    mailboxes_.traffic.Post(PeerMessageReceived{std::move(envelope)});
  }

  // Returns the messages to other VMs since the last call.
  auto TakeSent() -> std::vector<SendToPeer> {
    std::vector<SendToPeer> sent;
    for (auto& message : mailboxes_.mesh.TakeAll()) {
      if (auto* send = std::get_if<PeerMessageToSend>(&message)) {
        sent.push_back(std::move(send->order));
      }
    }
    return sent;
  }

  auto Exchange(const std::string& request) -> TestSocket::Message {
    auto socket = TestSocket::Connect(port_);
    cr_assert(socket.Write(request));
    auto answer = socket.ReadMessage();
    cr_assert(answer.has_value());
    return *answer;
  }

 private:
  // Slots of each target.
  const std::uint32_t slots_;
  Mailboxes mailboxes_;
  std::promise<std::uint16_t> port_promise_;
  std::uint16_t port_ = 0;
  std::promise<void> exited_;
  std::future<void> exit_future_;
  TaskHost<ListeningGateway> host_;
};

// Returns a request for the routes of the fixture.
inline auto Request(const std::string& method,
                    const std::string& path,
                    const std::string& body = "",
                    const std::string& id = "req-1",
                    const std::string& left_ms = "15000") -> std::string {
  return method + " " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
         "\r\nLeft-Ms: " + left_ms + "\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns an answer with Content-Length; `head` begins with the status.
inline auto Answer(const std::string& head, const std::string& body)
    -> std::string {
  return "HTTP/1.1 " + head +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Returns the script of an upstream that sends the same answer to every
// request.
inline auto Always(const std::string& answer) -> UpstreamFake::Script {
  return [answer](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write(answer);
  };
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_GATEWAY_GATEWAY_FIXTURE_H_
