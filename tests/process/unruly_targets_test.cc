#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <criterion/options.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "integration/support/crowd.h"
#include "integration/support/gateway_figures.h"
#include "integration/support/published_fleet.h"
#include "integration/support/unruly_target.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(unruly_targets, .fini = &ChildProcess::KillAll, .timeout = 120);

constexpr int kOk = 200;
constexpr int kMemoryMb = 112;
// Half of the memory of the machine, for the process and for the kernel's
// buffers of its sockets.
constexpr long kMaxMemoryKb = 56'000;
constexpr std::size_t kMaxQueueBytes = 56'000'000;
constexpr std::size_t kMaxConnections = 400;
constexpr std::size_t kCallers = 200;
// Connections to each target.
constexpr std::size_t kConnectionsPerTarget = 400;
// The callers' connections, as many to targets, the parts of the process, the
// peers and the control connections, and 60 to the ordinary target.
constexpr std::size_t kMaxDescriptors = 2 * kMaxConnections + 40 + 96 + 40 + 60;

// A gateway with little memory, another one, an ordinary target, and one target
// and service for each part that has no end.
class VmWithUnrulyTargets {
 public:
  VmWithUnrulyTargets()
      : fleet_({.targets = {{"orders", 1}},
                .gateways = 2,
                .settings = {
                    {"vm", {{"memory_mb", kMemoryMb}}},
                    {"caller", {{"max_connections", kMaxConnections}}}}}) {
    nlohmann::json routes;
    nlohmann::json services = {
        {"orders", {{"health_path", "/health"}, {"max_conns", 60}}}};
    const auto add = [&](const std::string& service) {
      for (std::size_t i = 0; i < fleet_.gateways(); ++i) {
        const auto host = fleet_.AddressOf(i);
        const auto prefix = "/" + service + "/";
        routes[host + prefix] = {{"host", host},       {"prefix", prefix},
                                 {"kind", "safe"},     {"timeout_ms", 3000},
                                 {"slo_ms", 1000},     {"priority", 1},
                                 {"service", service}, {"max_attempts", 2}};
      }
    };
    add("orders");
    for (const auto& entry : EnumNames<EndlessPart>::kTable) {
      const auto& target =
          targets_.emplace_back(std::make_unique<UnrulyTarget>(entry.value));
      fleet_.RegisterText(target->name(), target->RegistrationJson());
      services[target->name()] = {{"health_path", "/health"},
                                  {"max_conns", kConnectionsPerTarget}};
      add(target->name());
    }
    fleet_.PublishConfig(
        {{"version", "r1"},
         {"routes", routes},
         {"services", services},
         {"limits",
          {{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}}}});
    fleet_.StartGateway(0);
    fleet_.StartGateway(1);
    fleet_.WaitForAll();
  }

  [[nodiscard]] auto targets() const
      -> const std::vector<std::unique_ptr<UnrulyTarget>>& {
    return targets_;
  }

  // Adds callers that don't read.
  auto AddCallers(Crowd& crowd,
                  const UnrulyTarget& target,
                  std::size_t callers) const -> void {
    crowd.Add(fleet_.FrontOf(0), callers,
              Head("GET", "/" + target.name() + "/1") + "\r\n");
  }

  // Adds callers outside the limits.
  auto AddHostileCallers(Crowd& crowd, std::size_t callers) const -> void {
    constexpr std::size_t kBody = 1 << 20;
    constexpr std::size_t kFields = 3900;
    crowd.Add(fleet_.FrontOf(0), callers / 2,
              WholeBody(Head("POST", "/orders/1"), kBody, 1));
    crowd.Add(fleet_.FrontOf(0), callers / 2,
              Head("GET", "/orders/1") + Repeat("a:\r\n", kFields));
  }

  // Samples the queues until the gateway and the targets make no more progress,
  // at most 10 s.
  auto Watch() -> void {
    constexpr std::chrono::milliseconds kIdle(20);
    constexpr std::chrono::milliseconds kSample(100);
    constexpr int kSamplesPerCheck = 10;
    for (int check = 0; check < 10; ++check) {
      const auto before = ProcessorTime(pid());
      for (int i = 0; i < kSamplesPerCheck; ++i) {
        most_queued_ = std::max(most_queued_, SocketQueueBytes(pid()));
        most_descriptors_ =
            std::max(most_descriptors_, CountDescriptors(pid()));
        std::this_thread::sleep_for(kSample);
      }
      if (ProcessorTime(pid()) - before < kIdle) {
        return;
      }
    }
  }

  // Fails the test unless the gateway stayed within its limits and an ordinary
  // caller is served, once it repeated a refused request.
  auto ExpectServed(const std::string& what) -> void {
    Watch();
    cr_expect(WaitUntil([&] { return CallOrdinary() == kOk; }, kFleetTimeout),
              "%s: no ordinary request was answered", what.c_str());
    cr_assert(fleet_.gateway(0).IsRunning(), "%s: ended", what.c_str());
    const auto memory = PeakMemoryKb(pid());
    cr_log_info("%s: %ld kB, %zu bytes in queues, %zu descriptors",
                what.c_str(), memory, most_queued_, most_descriptors_);
    cr_expect_lt(memory, kMaxMemoryKb, "%s: %ld kB", what.c_str(), memory);
    cr_expect_lt(most_queued_, kMaxQueueBytes, "%s: %zu bytes in queues",
                 what.c_str(), most_queued_);
    cr_expect_leq(most_descriptors_, kMaxDescriptors, "%s: %zu descriptors",
                  what.c_str(), most_descriptors_);
    most_queued_ = 0;
  }

 private:
  [[nodiscard]] auto pid() -> pid_t { return fleet_.gateway(0).pid(); }

  [[nodiscard]] auto Head(const std::string& method,
                          const std::string& path) const -> std::string {
    return OpenHead(method, fleet_.AddressOf(0), path);
  }

  auto CallOrdinary() -> int {
    return fleet_
        .Call(0, "/orders/1", "ordinary-" + std::to_string(++calls_), "GET")
        .status;
  }

  PublishedStoreFleet fleet_;
  std::vector<std::unique_ptr<UnrulyTarget>> targets_;
  std::size_t most_queued_ = 0;
  std::size_t most_descriptors_ = 0;
  int calls_ = 0;
};

}  // namespace

// Guards against answers without an end that are held, in the process or in the
// kernel, for callers that don't read.
Test(unruly_targets, callers_do_not_read) {
  VmWithUnrulyTargets vm;
  for (const auto& target : vm.targets()) {
    Crowd crowd;
    vm.AddCallers(crowd, *target, kCallers);
    crowd.Send();
    vm.ExpectServed(target->name());
    cr_expect_gt(target->answered(), 0, "%s", target->name().c_str());
  }
}

// Guards against limits of answers and of callers that hold for each alone.
Test(unruly_targets, beside_callers_outside_the_limits) {
  VmWithUnrulyTargets vm;
  Crowd crowd;
  constexpr std::size_t kHostile = 96;
  vm.AddHostileCallers(crowd, kHostile);
  for (const auto part : {EndlessPart::kBodyByLength, EndlessPart::kChunks}) {
    vm.AddCallers(crowd, *vm.targets()[static_cast<std::size_t>(part)],
                  kCallers / 2);
  }
  crowd.Send();
  vm.ExpectServed("hostile callers");
}

// Guards against limits that hold for each service alone.
Test(unruly_targets, all_services_at_once) {
  VmWithUnrulyTargets vm;
  Crowd crowd;
  constexpr std::size_t kEach = 40;
  for (const auto& target : vm.targets()) {
    vm.AddCallers(crowd, *target, kEach);
  }
  crowd.Send();
  vm.ExpectServed("all services");
}

// Guards against answers that stay after their callers have left.
Test(unruly_targets, callers_leave) {
  VmWithUnrulyTargets vm;
  constexpr int kRounds = 5;
  for (int i = 0; i < kRounds; ++i) {
    Crowd crowd;
    for (const auto& target : vm.targets()) {
      vm.AddCallers(crowd, *target, kCallers / vm.targets().size());
    }
    crowd.Send();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  vm.ExpectServed("callers leave");
}

}  // namespace flamingoyoke::integration

// Runs one test at a time, whatever the command line says: beside others a
// gateway may get too little time to serve.
auto main(int argc, char** argv) -> int {
  auto* tests = criterion_initialize();
  int result = 0;
  if (criterion_handle_args(argc, argv, true) != 0) {
    criterion_options.jobs = 1;
    result = criterion_run_all_tests(tests) != 0 ? 0 : 1;
  }
  criterion_finalize(tests);
  return result;
}
