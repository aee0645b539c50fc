#ifndef FLAMINGOYOKE_TESTS_UNIT_DECISION_QUOTA_FAKE_QUOTA_FLEET_H_
#define FLAMINGOYOKE_TESTS_UNIT_DECISION_QUOTA_FAKE_QUOTA_FLEET_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "decision/quota/gateway_quotas.h"
#include "decision/quota/quota_keeper.h"
#include "unit/decision/fleet/wire_size.h"

namespace flamingoyoke {

// Gateways with quotas in virtual time: messages take a random time or are
// lost, gateways die, restart and lose contact. Records when requests run.
class FakeQuotaFleet {
 public:
  struct Options {
    std::size_t gateways = 8;
    std::uint64_t seed = 1;
    Duration min_latency = std::chrono::microseconds(500);
    Duration max_latency = std::chrono::microseconds(3000);
    double loss = 0;
    // A request needs no message and no room: measures other ways to divide.
    // Called with the gateway; returns whether the request runs.
    std::function<bool(std::size_t, const TeamId&, TimePoint)> decide = {};
  };
  struct TeamResult {
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    // Requests that a single bucket with the limit admits.
    std::uint64_t conforming = 0;
    // When requests ran.
    std::vector<TimePoint> ran;
    std::vector<Duration> waits;
    std::vector<Duration> retry_after;
    double bucket = 0;
    TimePoint refilled;
  };
  struct Node {
    VmId id;
    std::unique_ptr<GatewayQuotas> quotas;
    std::unique_ptr<QuotaKeeper> keeper;
    Incarnation incarnation;
    bool alive = true;
    QuotaScope scope;
    std::map<std::uint64_t, std::pair<TeamId, TimePoint>> waiting;
    std::uint64_t wake = 0;
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t limited_lines = 0;
  };

  explicit FakeQuotaFleet(Options options)
      : options_(std::move(options)), random_(options_.seed) {
    for (std::size_t i = 0; i < options_.gateways; ++i) {
      nodes_.push_back({.id = VmId("vm-" + std::to_string(i))});
    }
    SetLimits({});
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Start(i);
    }
    SetView(All(), All(), 1);
  }

  [[nodiscard]] auto now() const -> TimePoint { return now_; }
  auto nodes() -> std::vector<Node>& { return nodes_; }
  [[nodiscard]] auto All() const -> std::vector<std::size_t> {
    std::vector<std::size_t> all(nodes_.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    return all;
  }
  auto result(const std::string& team) -> TeamResult& {
    return results_[TeamId(team)];
  }

  // Puts a version with these limits in force everywhere.
  auto SetLimits(const std::map<std::string, TeamQuota>& limits) -> void {
    auto routing = std::make_shared<Routing>();
    routing->teams.emplace();
    for (const auto& [team, quota] : limits) {
      routing->teams->push_back({.id = TeamId(team), .quota = quota});
      auto& result = results_[TeamId(team)];
      result.bucket = std::max(static_cast<double>(quota.burst), 1.0);
      result.refilled = now_;
    }
    limits_ = QuotaLimits(routing);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].quotas && nodes_[i].alive) {
        Perform(i, QuotaLimitsChanged{limits_});
        PerformAsKeeper(i, QuotaLimitsChanged{limits_});
      }
    }
  }

  // The gateways `who` see `entries` as the entries, of which they may use
  // `share` of the limits.
  auto SetView(const std::vector<std::size_t>& who,
               const std::vector<std::size_t>& entries,
               double share) -> void {
    std::vector<EntryVm> vms;
    std::vector<VmId> ids;
    vms.reserve(entries.size());
    ids.reserve(entries.size());
    for (const auto index : entries) {
      vms.push_back({nodes_[index].id});
      ids.push_back(nodes_[index].id);
    }
    for (const auto index : who) {
      nodes_[index].scope = {nodes_[index].id,
                             std::max<std::size_t>(entries.size(), 1), share,
                             QuotaKeepers(vms), ids};
      if (nodes_[index].alive) {
        Perform(index, QuotaScopeChanged{nodes_[index].scope});
        PerformAsKeeper(index, QuotaScopeChanged{nodes_[index].scope});
      }
    }
  }

  // Requests of `team` arrive at random with `rate` at a random one of
  // `gateways`, until the next call. A dead gateway gets none; they go to the
  // others.
  auto SetLoad(const std::string& team,
               double rate,
               std::vector<std::size_t> gateways) -> void {
    const auto id = TeamId(team);
    const auto generation = ++loads_[id];
    if (rate > 0) {
      ScheduleArrival(id, rate, std::move(gateways), generation);
    }
  }

  // A request of `team` arrives at a gateway.
  auto Arrive(std::size_t index, const TeamId& team) -> void {
    auto& result = results_[team];
    ++result.offered;
    const auto limit = limits_.Find(team);
    result.bucket = std::min(
        std::max(limit.burst, 1.0),
        result.bucket + limit.rate * ToSeconds(now_ - result.refilled));
    result.refilled = now_;
    if (result.bucket >= 1) {
      result.bucket -= 1;
      ++result.conforming;
    }
    if (options_.decide) {
      if (options_.decide(index, team, now_)) {
        result.ran.push_back(now_);
      } else {
        ++result.refused;
      }
      return;
    }
    const auto id = ++last_request_;
    nodes_[index].waiting[id] = {team, now_};
    Perform(index, QuotaRequestArrived{RequestId(id), team,
                                       now_ + std::chrono::seconds(10)});
  }

  auto Kill(std::size_t index) -> void {
    nodes_[index].alive = false;
    ++nodes_[index].wake;
    nodes_[index].waiting.clear();
  }
  auto Start(std::size_t index) -> void {
    auto& node = nodes_[index];
    node.alive = true;
    node.incarnation = Incarnation(node.incarnation.value() + 1);
    node.quotas = std::make_unique<GatewayQuotas>(Random(random_.Next()));
    node.keeper = std::make_unique<QuotaKeeper>();
    Perform(index, QuotaLimitsChanged{limits_});
    PerformAsKeeper(index, QuotaLimitsChanged{limits_});
    if (!node.scope.keepers.empty()) {
      Perform(index, QuotaScopeChanged{node.scope});
      PerformAsKeeper(index, QuotaScopeChanged{node.scope});
    }
  }
  // Loses all messages between `side` and the others.
  auto Cut(std::set<std::size_t> side) -> void { side_ = std::move(side); }

  auto RunFor(Duration duration) -> void {
    const auto end = now_ + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = std::move(events_.begin()->second);
      now_ = events_.begin()->first;
      events_.erase(events_.begin());
      event();
    }
    now_ = end;
  }

  // Returns the highest number of requests of `team` that ran in a window of
  // 5 s that began at `from` or later.
  auto MaxInWindow(const std::string& team, TimePoint from = {})
      -> std::size_t {
    const auto& ran = result(team).ran;
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < ran.size(); ++last) {
      if (ran[last] < from) {
        first = last + 1;
        continue;
      }
      while (ran[last] - ran[first] >= std::chrono::seconds(5)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  // Returns the share of the requests below the limit that did not run.
  auto RefusedShare(const std::string& team) -> double {
    const auto& each = result(team);
    const auto conforming = static_cast<double>(each.conforming);
    return conforming <= 0
               ? 0
               : std::max(0.0, 1 - static_cast<double>(each.ran.size()) /
                                       conforming);
  }
  // Forgets the counts, so that the next figures are of what follows.
  auto ResetCounts() -> void {
    for (auto& [team, result] : results_) {
      result.offered = result.refused = result.conforming = 0;
      result.ran.clear();
      result.waits.clear();
    }
    for (auto& node : nodes_) {
      node.sent_messages = node.sent_bytes = node.received_bytes = 0;
    }
  }

 private:
  auto ScheduleArrival(const TeamId& team,
                       double rate,
                       std::vector<std::size_t> gateways,
                       std::uint64_t generation) -> void {
    const auto gap = -std::log(1 - random_.Unit()) / rate;
    At(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
       [this, team, rate, gateways = std::move(gateways),
        generation]() mutable {
         if (loads_[team] != generation) {
           return;
         }
         std::vector<std::size_t> alive;
         for (const auto index : gateways) {
           if (nodes_[index].alive) {
             alive.push_back(index);
           }
         }
         if (!alive.empty()) {
           Arrive(alive[random_.Below(alive.size())], team);
         }
         ScheduleArrival(team, rate, std::move(gateways), generation);
       });
  }

  auto At(Duration delay, std::function<void()> event) -> void {
    events_.emplace(now_ + delay, std::move(event));
  }

  auto Perform(std::size_t index, const GatewayQuotaEvent& event) -> void {
    for (const auto& action : nodes_[index].quotas->OnEvent(event, now_)) {
      std::visit([&](const auto& typed) { Do(index, typed); }, action);
    }
  }
  auto PerformAsKeeper(std::size_t index, const QuotaKeeperEvent& event)
      -> void {
    for (const auto& order : nodes_[index].keeper->OnEvent(event, now_)) {
      Do(index, order);
    }
  }

  auto Do(std::size_t index, const AdmitRequest& action) -> void {
    const auto found = nodes_[index].waiting.extract(action.request.value());
    auto& result = results_[found.mapped().first];
    result.ran.push_back(now_);
    result.waits.push_back(now_ - found.mapped().second);
  }
  auto Do(std::size_t index, const RefuseOverQuota& action) -> void {
    const auto found = nodes_[index].waiting.extract(action.request.value());
    auto& result = results_[found.mapped().first];
    ++result.refused;
    result.retry_after.push_back(action.retry_after);
  }
  auto Do(std::size_t index, const TeamLimited&) -> void {
    ++nodes_[index].limited_lines;
  }
  auto Do(std::size_t index, const WakeQuotaAt& action) -> void {
    const auto wake = ++nodes_[index].wake;
    At(std::max(action.at - now_, Duration::zero()), [this, index, wake] {
      if (nodes_[index].wake == wake) {
        Perform(index, QuotaTimer{});
      }
    });
  }
  auto Do(std::size_t index, const SendToPeer& order) -> void {
    const auto to =
        static_cast<std::size_t>(std::stoul(order.peer.value().substr(3)));
    auto& node = nodes_[index];
    auto delay = Duration::zero();
    if (to != index) {
      const auto bytes =
          WireSize::Of({node.id, node.incarnation, order.message});
      ++node.sent_messages;
      node.sent_bytes += bytes;
      nodes_[to].received_bytes += bytes;
      if (side_.contains(index) != side_.contains(to) ||
          random_.Unit() < options_.loss) {
        return;
      }
      const auto spread = options_.max_latency - options_.min_latency;
      delay = options_.min_latency +
              Duration(random_.Below(
                  static_cast<std::uint64_t>(spread.count()) + 1));
    }
    At(delay, [this, to, from = node.id, incarnation = node.incarnation,
               message = order.message] {
      if (nodes_[to].alive) {
        Deliver(to, from, incarnation, message);
      }
    });
  }
  auto Deliver(std::size_t to,
               const VmId& from,
               Incarnation incarnation,
               const PeerMessage& message) -> void {
    if (const auto* request = std::get_if<QuotaRequest>(&message)) {
      PerformAsKeeper(to, QuotaRequestReceived{from, incarnation, *request});
    } else if (const auto* grant = std::get_if<QuotaGrant>(&message)) {
      Perform(to, QuotaGrantReceived{from, *grant});
    } else if (const auto* recall = std::get_if<QuotaRecall>(&message)) {
      Perform(to, QuotaRecallReceived{from, *recall});
    }
  }

  Options options_;
  Random random_;
  TimePoint now_{std::chrono::seconds(1000)};
  QuotaLimits limits_;
  std::vector<Node> nodes_;
  std::map<TeamId, TeamResult> results_;
  std::map<TeamId, std::uint64_t> loads_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::set<std::size_t> side_;
  std::uint64_t last_request_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_DECISION_QUOTA_FAKE_QUOTA_FLEET_H_
