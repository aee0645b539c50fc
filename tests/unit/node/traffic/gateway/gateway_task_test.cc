#include "node/traffic/gateway/gateway_task.h"

#include <criterion/criterion.h>

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "runtime/task_host.h"
#include "unit/node/traffic/test_socket.h"
#include "unit/node/traffic/upstream_fake.h"

namespace flamingoyoke {
namespace {

TestSuite(gateway_task, .timeout = 120);

// Tells the port once the task listens.
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

auto MakeGatewayConfig() -> GatewayConfig {
  GatewayConfig config;
  config.traffic.vm = VmId("vm-a");
  config.traffic.address_time_to_live = Duration::zero();
  config.traffic.leave_margin = Duration::zero();
  config.dialect.headers = {.request_id = "Id",
                            .time_left_ms = "Left-Ms",
                            .signature = "Signed",
                            .expected_target = "Expect-Target",
                            .not_run = "Not-Run"};
  config.dialect.readiness_path = "/-/ready";
  config.dialect.addresses_path = "/-/addresses";
  config.dialect.write_addresses = [](const std::vector<std::string>& addresses,
                                      Duration) { return addresses.front(); };
  config.limits = {.floor_share = 0.7, .retry_share = 0.2, .retry_least = 10};
  return config;
}

// A gateway with one route for each kind of work to the given upstreams.
class GatewayFixture {
 public:
  explicit GatewayFixture(const std::vector<std::uint16_t>& upstreams)
      : host_("gateway", mailboxes_.traffic, [this] {
          return std::make_unique<ListeningGateway>(
              MakeGatewayConfig(),
              TrafficOutbox{mailboxes_.mesh, mailboxes_.admin,
                            mailboxes_.telemetry, mailboxes_.fleet},
              port_promise_);
        }) {
    auto port = port_promise_.get_future();
    host_.Start([](const std::optional<Error>&) {});
    port_ = port.get();
    Publish(upstreams);
  }

  auto Publish(const std::vector<std::uint16_t>& upstreams) -> void {
    auto view = std::make_shared<FleetView>();
    view->self = VmId("vm-a");
    view->ready = true;
    Member self;
    self.id = view->self;
    self.address = "10.0.0.1:80";
    view->members = {self};
    view->entries = {view->self};
    Routing routing;
    routing.revision = Revision(3);
    routing.services = {{ServiceId("s"), "/health", 30}};
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
    Registry registry;
    for (const auto upstream : upstreams) {
      RegisteredTarget target;
      target.id = TargetId("t" + std::to_string(upstream));
      target.service = ServiceId("s");
      target.host = "127.0.0.1";
      target.port = upstream;
      target.slots = 4;
      registry.targets.push_back(target);
    }
    view->routing = std::make_shared<const Routing>(routing);
    view->registry = std::make_shared<const Registry>(registry);
    mailboxes_.traffic.Post(FleetViewChanged{view});
  }

  auto Exchange(const std::string& request) -> TestSocket::Message {
    auto socket = TestSocket::Connect(port_);
    cr_assert(socket.Write(request));
    auto answer = socket.ReadMessage();
    cr_assert(answer.has_value());
    return *answer;
  }

 private:
  Mailboxes mailboxes_;
  std::promise<std::uint16_t> port_promise_;
  std::uint16_t port_ = 0;
  TaskHost<ListeningGateway> host_;
};

auto Request(const std::string& method,
             const std::string& path,
             const std::string& body = "") -> std::string {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h\r\nId: req-1\r\nLeft-Ms: 15000\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto Answer(const std::string& head, const std::string& body) -> std::string {
  return "HTTP/1.1 " + head +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

auto Always(const std::string& answer) -> UpstreamFake::Script {
  return [answer](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write(answer);
  };
}

}  // namespace

// Guards against attempts without the remaining time or the expected target,
// and against answers that change on the way.
Test(gateway_task, passes_on_requests_and_answers) {
  UpstreamFake upstream(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "whole")));
  GatewayFixture gateway({upstream.port()});
  const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
  cr_assert_eq(answer.status(), 200);
  cr_assert_eq(answer.body, "whole");
  cr_assert_neq(answer.head.find("Signed: x"), std::string::npos);
  const auto sent = upstream.request(0);
  cr_assert_eq(sent.body, "order");
  cr_assert_neq(sent.head.find("Id: req-1"), std::string::npos);
  cr_assert_neq(
      sent.head.find("Expect-Target: t" + std::to_string(upstream.port())),
      std::string::npos);
  cr_assert_neq(sent.head.find("Left-Ms: 1"), std::string::npos);
  cr_assert_eq(sent.head.find("Left-Ms: 15000\r\nLeft-Ms"), std::string::npos);
}

// Guards against a success that is another request's, or not the target's.
Test(gateway_task, never_relays_a_foreign_success) {
  for (const auto* head : {"200 OK\r\nId: req-0\r\nSigned: x",
                           "200 OK\r\nId: req-1", "200 OK\r\nSigned: x"}) {
    UpstreamFake upstream(Always(Answer(head, "foreign")));
    GatewayFixture gateway({upstream.port()});
    const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
    cr_assert_eq(answer.status(), 502, "%s", head);
    cr_assert_eq(upstream.executions(), 1U);
  }
}

// Guards against once-only work that is lost when a target sheds it, and
// against 503 for work that ran.
Test(gateway_task, sends_shed_work_elsewhere) {
  UpstreamFake full(Always(Answer("503 Full\r\nNot-Run: 1", "")));
  UpstreamFake idle(Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({full.port(), idle.port()});
  for (int i = 0; i < 6; ++i) {
    cr_assert_eq(gateway.Exchange(Request("POST", "/once/1", "o")).status(),
                 200);
  }
}

// Guards against a target that another process has replaced at its address.
Test(gateway_task, leaves_a_replaced_target_alone) {
  UpstreamFake other(Always(Answer("421 Misdirected", "")));
  UpstreamFake own(Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({other.port(), own.port()});
  for (int i = 0; i < 8; ++i) {
    cr_assert_eq(gateway.Exchange(Request("POST", "/once/1", "o")).status(),
                 200);
  }
  cr_assert_leq(other.executions(), 1U);
}

// Guards against cut answers that look whole, and against the failure of
// repeatable work that another target can do.
Test(gateway_task, replaces_a_cut_answer_of_repeatable_work) {
  const auto cut = [](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write(
        "HTTP/1.1 200 OK\r\nId: req-1\r\nSigned: x\r\nContent-Length: "
        "100\r\n\r\npart");
    return false;
  };
  UpstreamFake broken(cut);
  UpstreamFake healthy(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "ok")));
  GatewayFixture gateway({broken.port(), healthy.port()});
  for (int i = 0; i < 6; ++i) {
    const auto answer = gateway.Exchange(Request("GET", "/repeatable/1"));
    cr_assert_eq(answer.status(), 200);
    cr_assert_eq(answer.body, "ok");
  }
  GatewayFixture alone({broken.port()});
  cr_assert_eq(alone.Exchange(Request("POST", "/once/1", "o")).status(), 502);
}

// Guards against the loss of answers without a length that end in good order.
Test(gateway_task, accepts_an_answer_that_ends_with_its_connection) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write("HTTP/1.1 200 OK\r\nId: req-1\r\nSigned: x\r\n\r\nto the end");
    return false;
  });
  GatewayFixture gateway({upstream.port()});
  const auto answer = gateway.Exchange(Request("GET", "/repeatable/1"));
  cr_assert_eq(answer.status(), 200);
  cr_assert_eq(answer.body, "to the end");
}

// Guards against a process that ends: jutagatt trouble-2 --seed 587368157405,
// where a target answered a long upload before it had read it, which stopped
// evhttp in the middle of the write.
Test(gateway_task, takes_an_answer_that_comes_before_the_body_was_read) {
  constexpr std::size_t kBytes = 900'000;
  TestListener listener;
  std::thread target([&] {
    for (int i = 0; i < 4; ++i) {
      auto socket = listener.Accept();
      if (!socket.valid()) {
        return;
      }
      std::array<char, 1024> part{};
      recv(socket.descriptor(), part.data(), part.size(), 0);
      socket.Write(
          "HTTP/1.1 500 No\r\nId: req-1\r\nSigned: x\r\nContent-Length: "
          "5\r\n\r\nearly");
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  GatewayFixture gateway({listener.port()});
  for (int i = 0; i < 4; ++i) {
    const auto answer =
        gateway.Exchange(Request("POST", "/once/1", std::string(kBytes, 'b')));
    cr_assert_eq(answer.status(), 500);
    cr_assert_eq(answer.body, "early");
  }
  target.join();
}

// Guards against 404 before a configuration is known, and against addresses
// from a vm that knows no fleet.
Test(gateway_task, says_not_ready_before_it_knows_a_configuration) {
  Mailboxes mailboxes;
  std::promise<std::uint16_t> promise;
  auto future = promise.get_future();
  TaskHost<ListeningGateway> host("gateway", mailboxes.traffic, [&] {
    return std::make_unique<ListeningGateway>(
        MakeGatewayConfig(),
        TrafficOutbox{mailboxes.mesh, mailboxes.admin, mailboxes.telemetry,
                      mailboxes.fleet},
        promise);
  });
  host.Start([](const std::optional<Error>&) {});
  const auto port = future.get();
  for (const auto* path : {"/once/1", "/-/ready", "/-/addresses"}) {
    auto socket = TestSocket::Connect(port);
    cr_assert(socket.Write(Request("GET", path)));
    cr_assert_eq(socket.ReadMessage()->status(), 503, "%s", path);
  }
}

Test(gateway_task, answers_status_questions) {
  GatewayFixture gateway({1});
  cr_assert_eq(gateway.Exchange(Request("GET", "/-/ready")).status(), 200);
  cr_assert_eq(gateway.Exchange(Request("GET", "/-/addresses?name=h")).body,
               "10.0.0.1:80");
  cr_assert_eq(gateway.Exchange(Request("GET", "/none/")).status(), 404);
}

}  // namespace flamingoyoke
