#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "integration/support/published_fleet.h"

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;

TestSuite(leaving_caller, .fini = &ChildProcess::KillAll, .timeout = 120);

constexpr int kServiceMs = 1200;
constexpr auto kPatience = milliseconds(300);

}  // namespace

// Guards against queued requests that reach a target after their callers left.
Test(leaving_caller, its_queued_request_reaches_no_target) {
  PublishedStoreFleet fleet(FleetSize{.targets = {{"orders", 1}},
                                      .service_ms = kServiceMs,
                                      .slots = 1,
                                      .gateways = 1});
  fleet.PublishRoutes("r4", {"/book/"});
  fleet.StartGateway(0);
  fleet.WaitForAll();
  const auto call = [&](const std::string& id) {
    return HttpCall{.server = fleet.FrontOf(0),
                    .method = "POST",
                    .target = "/book/1",
                    .headers = {{"X-Request-Id", id}},
                    .body = "order"};
  };
  BlockingHttp staying;
  staying.StartCall(call("runs"));
  staying.RunFor(milliseconds(100));
  std::optional<BlockingHttp> leaving(std::in_place);
  leaving->StartCall(call("waits"));
  leaving->RunFor(kPatience);
  leaving.reset();
  cr_assert_eq(staying.WaitForAll().front().status, 200);
  staying.RunFor(milliseconds(500));
  const auto arrivals = fleet.target(0).Counters(staying).at("arrivals");
  cr_assert_eq(arrivals.size(), 1U);
  cr_assert_eq(arrivals.at(0).at("id"), "runs");
}

}  // namespace flamingoyoke::integration
