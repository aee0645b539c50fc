#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "integration/support/published_fleet.h"

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TestSuite(quota, .fini = &ChildProcess::KillAll, .timeout = 300);

constexpr int kOk = 200;
constexpr int kOverLimit = 429;
constexpr const char* kHost = "quota.example";
constexpr const char* kLimitedKey = "batch-1";
constexpr const char* kUnlimitedKey = "shop-1";
constexpr std::size_t kRate = 20;
constexpr std::size_t kBurst = 20;
constexpr auto kWindow = seconds(5);
// What may run in kWindow: (rate * 5 + burst) * 1.25 + 20.
constexpr std::size_t kAllowed = (kRate * 5 + kBurst) * 5 / 4 + 20;

auto Config() -> nlohmann::json {
  return {
      {"version", "r4"},
      {"routes",
       {{"/book/",
         {{"host", kHost},
          {"prefix", "/book/"},
          {"kind", "unsafe"},
          {"timeout_ms", 3000},
          {"slo_ms", 1000},
          {"priority", 1},
          {"service", "orders"},
          {"max_attempts", 2}}}}},
      {"services",
       {{"orders", {{"health_path", "/health"}, {"max_conns", 60}}}}},
      {"tenants",
       {{"batch",
         {{"api_keys", {kLimitedKey}},
          {"rate_per_s", kRate},
          {"burst", kBurst}}},
        {"shop", {{"api_keys", {kUnlimitedKey}}}}}},
      {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}}}};
}

// Callers of both teams, each with answers of its own.
class Callers {
 public:
  explicit Callers(PublishedStoreFleet& fleet) : fleet_(fleet) {}

  // Sends 50 requests/s of the limited team to each of the first `gateways`,
  // and as many of the other team to the first two in turn.
  auto SendFor(Duration time, std::size_t gateways) -> void {
    constexpr auto kPeriod = milliseconds(20);
    for (auto left = time; left > Duration::zero(); left -= kPeriod) {
      for (std::size_t i = 0; i < gateways; ++i) {
        Send(limited_, i, kLimitedKey);
      }
      Send(unlimited_, sent_ % 2, kUnlimitedKey);
      limited_.RunFor(kPeriod / 2);
      unlimited_.RunFor(kPeriod / 2);
    }
  }

  // Both return the number of answers with `status`.
  auto CountLimited(int status) -> std::size_t {
    return Count(limited_.WaitForAll(), status);
  }
  auto CountUnlimited(int status) -> std::size_t {
    return Count(unlimited_.WaitForAll(), status);
  }
  [[nodiscard]] auto sent_unlimited() const -> std::size_t {
    return sent_unlimited_;
  }

 private:
  static auto Count(const std::vector<HttpAnswer>& answers, int status)
      -> std::size_t {
    return static_cast<std::size_t>(
        std::ranges::count(answers, status, &HttpAnswer::status));
  }

  auto Send(BlockingHttp& http, std::size_t gateway, const std::string& key)
      -> void {
    auto server = fleet_.FrontOf(gateway);
    server.text = kHost;
    sent_unlimited_ += key == kUnlimitedKey ? 1 : 0;
    http.StartCall({.server = server,
                    .method = "POST",
                    .target = "/book/1",
                    .headers = {{"X-Key", key},
                                {"X-Request-Id", "q-" + std::to_string(sent_)},
                                {"X-Request-Deadline-Ms", "3000"}},
                    .body = "order"});
    ++sent_;
  }

  PublishedStoreFleet& fleet_;
  BlockingHttp limited_;
  BlockingHttp unlimited_;
  std::size_t sent_ = 0;
  std::size_t sent_unlimited_ = 0;
};

// Returns how many requests of a team reached targets in the kWindow with most.
auto MostInWindow(PublishedStoreFleet& fleet, const std::string& team)
    -> std::size_t {
  std::vector<Duration> times;
  for (std::size_t i = 0; i < fleet.targets(); ++i) {
    const auto counters = fleet.target(i).Counters(fleet.http());
    for (const auto& arrival : counters.at("arrivals")) {
      if (arrival.at("team") == team) {
        times.emplace_back(arrival.at("at_us").get<std::int64_t>());
      }
    }
  }
  std::ranges::sort(times);
  std::ptrdiff_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    most = std::max(
        most, std::lower_bound(first, times.end(), *first + kWindow) - first);
  }
  return static_cast<std::size_t>(most);
}

}  // namespace

// Guards against a team that exceeds its limit because gateways that are killed
// or take over its callers divide the limit wrongly, and against refusals that
// reach other teams.
Test(quota, holds_a_limit_over_all_gateways_when_one_is_killed) {
  PublishedStoreFleet fleet(
      FleetSize{.targets = {{"orders", 2}}, .gateways = 3});
  fleet.PublishConfig(Config());
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    fleet.StartGateway(i);
  }
  fleet.WaitForAll();
  Callers callers(fleet);
  callers.SendFor(seconds(8), 3);
  fleet.gateway(2).Signal(SIGKILL);
  callers.SendFor(seconds(8), 2);
  cr_expect_eq(callers.CountUnlimited(kOk), callers.sent_unlimited());
  cr_expect_gt(callers.CountLimited(kOverLimit), 0);
  const auto most = MostInWindow(fleet, "batch");
  cr_expect_gt(most, 0);
  cr_expect_leq(most, kAllowed, "%zu requests in 5 s, allowed are %zu", most,
                kAllowed);
}

}  // namespace flamingoyoke::integration
