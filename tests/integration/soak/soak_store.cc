#include "integration/soak/soak_store.h"

#include <nlohmann/json.hpp>

#include "integration/soak/caller_task.h"
#include "runtime/clock.h"

namespace flamingoyoke::integration {
namespace {

constexpr int kFirstStart = 1000;

auto RouteJson(const std::string& prefix, const RouteSettings& route)
    -> nlohmann::json {
  return {{"host", kSoakHost},        {"prefix", prefix},
          {"kind", route.kind},       {"timeout_ms", route.timeout.count()},
          {"slo_ms", 1500},           {"priority", 1},
          {"service", route.service}, {"max_attempts", 2}};
}

}  // namespace

SoakStore::SoakStore(PublishedStoreFleet& fleet, const SoakSettings& settings)
    : fleet_(fleet),
      settings_(settings),
      limit_factors_(settings.teams.size(), 1) {
  const auto published = Publish();
  for (const auto& team : settings_.teams) {
    history_.limits.push_back({{published, team.rate_per_s, team.burst}});
  }
}

auto SoakStore::AddRoute(const std::string& prefix) -> void {
  added_routes_.push_back(prefix);
  Publish();
}

auto SoakStore::AddIdleRoutes(std::size_t count) -> void {
  idle_routes_ += count;
  Publish();
}

auto SoakStore::TakeKey(const std::string& key) -> void {
  if (++taken_[key] == 1) {
    history_.absences[key].push_back({Publish(), std::nullopt});
  }
}

auto SoakStore::GiveKeyBack(const std::string& key) -> void {
  if (--taken_[key] == 0) {
    history_.absences[key].back().returned = Publish();
  }
}

auto SoakStore::ChangeLimit(std::size_t team, double factor) -> void {
  const auto& settings = settings_.teams[team];
  limit_factors_[team] = factor;
  const auto published = Publish();
  history_.limits[team].push_back(
      {published, settings.rate_per_s * factor, settings.burst * factor});
}

auto SoakStore::MarkAway(const Interval& time) -> void {
  history_.store_away.push_back(time);
}

auto SoakStore::Register(std::size_t target, const std::string& state) -> void {
  auto& starts = starts_[target];
  if (state == "ready") {
    ++starts;
  }
  ++sequence_;
  fleet_.RegisterText(fleet_.target(target).id(),
                      fleet_.target(target).RegistrationJson(
                          state, kFirstStart + starts, sequence_));
}

auto SoakStore::SendHeartbeats(std::size_t count) -> void {
  for (std::size_t i = 0; i < count; ++i) {
    fleet_.Heartbeat(i % fleet_.targets());
  }
  // No heartbeat has a later number.
  sequence_ += static_cast<int>(count);
}

auto SoakStore::WriteAgain() -> void {
  fleet_.WriteAgain();
  // No entry that was written again has a later number.
  ++sequence_;
}

auto SoakStore::TeamsJson() const -> nlohmann::json {
  nlohmann::json teams = {{"operator", {{"api_keys", {kOperatorKey}}}}};
  for (std::size_t i = 0; i < settings_.teams.size(); ++i) {
    const auto& team = settings_.teams[i];
    auto keys = nlohmann::json::array();
    for (const auto& key : team.keys) {
      const auto taken = taken_.find(key);
      if (taken == taken_.end() || taken->second == 0) {
        keys.push_back(key);
      }
    }
    teams[team.name] = {{"api_keys", keys},
                        {"rate_per_s", team.rate_per_s * limit_factors_[i]},
                        {"burst", team.burst * limit_factors_[i]}};
  }
  return teams;
}

auto SoakStore::Publish() -> Interval {
  nlohmann::json routes;
  for (const auto& route : settings_.routes) {
    routes[route.prefix] = RouteJson(route.prefix, route);
  }
  for (const auto& prefix : added_routes_) {
    routes[prefix] = RouteJson(prefix, settings_.routes.front());
  }
  for (std::size_t i = 0; i < idle_routes_; ++i) {
    const auto prefix = "/idle-" + std::to_string(i) + "/";
    routes[prefix] = RouteJson(prefix, settings_.routes.front());
  }
  nlohmann::json services;
  for (const auto& [name, targets] : settings_.targets) {
    services[name] = {{"health_path", "/health"}, {"max_conns", 360}};
  }
  version_ += 3;
  const auto start = Now();
  fleet_.PublishConfig(
      {{"version", "r" + std::to_string(version_)},
       {"routes", routes},
       {"services", services},
       {"tenants", TeamsJson()},
       {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}}}});
  return {start, Now()};
}

}  // namespace flamingoyoke::integration
