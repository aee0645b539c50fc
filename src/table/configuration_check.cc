#include "table/configuration_check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "table/route_index.h"

namespace flamingoyoke {
namespace {

using Findings = std::vector<ConfigurationFinding>;

auto Add(Findings& findings,
         FindingKind kind,
         const Route& route,
         const char* field,
         std::string reason) -> void {
  findings.push_back(
      {kind, EntryKind::kRoute, route.name, field, std::move(reason)});
}

auto CheckPattern(const Route& route, Findings& findings) -> void {
  if (route.host.empty()) {
    Add(findings, FindingKind::kUnreachable, route, "host",
        "is empty, and each request names a host");
  }
  if (route.prefix.empty() || route.prefix.front() != '/' ||
      route.prefix.back() != '/') {
    Add(findings, FindingKind::kError, route, "prefix",
        "must start and end with a slash");
  }
}

auto CheckShares(const Route& route,
                 const std::set<ServiceId>& services,
                 Findings& findings) -> void {
  std::uint64_t total = 0;
  for (const auto& share : route.shares) {
    total += share.weight;
    if (services.count(share.service) == 0) {
      Add(findings, FindingKind::kError, route, "shares",
          "name the service " + share.service.value() +
              ", which the configuration does not have");
    }
    if (share.weight == 0) {
      Add(findings, FindingKind::kUnreachable, route, "shares",
          "give the service " + share.service.value() +
              " the weight 0, so it gets no request");
    }
  }
  if (total == 0) {
    Add(findings, FindingKind::kError, route, "shares",
        "have no service with a weight above 0");
  }
}

auto CheckTimes(const Route& route, Findings& findings) -> void {
  if (route.timeout <= Duration::zero()) {
    Add(findings, FindingKind::kError, route, "timeout", "must be positive");
  } else if (route.timeout < route.objective) {
    Add(findings, FindingKind::kContradiction, route, "timeout",
        "of " + std::to_string(ToMilliseconds(route.timeout)) +
            " ms is below the objective of " +
            std::to_string(ToMilliseconds(route.objective)) + " ms");
  }
  if (route.max_attempts == 0) {
    Add(findings, FindingKind::kContradiction, route, "max_attempts",
        "of 0 allows no attempt; 1 is used");
  }
}

// A request goes to the first of the routes that match it equally.
auto CheckDuplicates(const Routing& routing, Findings& findings) -> void {
  std::map<std::pair<std::string, std::string>, const Route*> first;
  for (const auto& route : routing.routes) {
    const auto [entry, is_new] = first.emplace(
        std::pair(NormalizeHost(route.host), route.prefix), &route);
    if (!is_new) {
      Add(findings, FindingKind::kUnreachable, route, "prefix",
          "has the host and prefix of the route " + entry->second->name +
              ", which gets the requests");
    }
  }
}

auto CheckServices(const Routing& routing, Findings& findings) -> void {
  std::set<ServiceId> used;
  for (const auto& route : routing.routes) {
    for (const auto& share : route.shares) {
      used.insert(share.service);
    }
  }
  for (const auto& service : routing.services) {
    if (used.count(service.id) == 0) {
      findings.push_back({FindingKind::kUnreachable, EntryKind::kService,
                          service.id.value(), "", "has no route"});
    }
    if (service.max_connections == 0) {
      findings.push_back({FindingKind::kContradiction, EntryKind::kService,
                          service.id.value(), "max_connections",
                          "of 0 allows no request"});
    }
  }
}

auto CheckTeams(const std::vector<Team>& teams, Findings& findings) -> void {
  std::map<std::string, const Team*> owners;
  for (const auto& team : teams) {
    const auto add = [&](FindingKind kind, const char* field,
                         std::string reason) {
      findings.push_back(
          {kind, EntryKind::kTeam, team.id.value(), field, std::move(reason)});
    };
    if (team.keys.empty()) {
      add(FindingKind::kUnreachable, "keys", "are none, so no request is its");
    }
    for (const auto& key : team.keys) {
      const auto [owner, is_new] = owners.emplace(key, &team);
      if (!is_new && owner->second != &team) {
        add(FindingKind::kError, "keys",
            "include one that the team " + owner->second->id.value() +
                " has too");
      }
    }
    const auto& quota = team.quota;
    if (quota.requests_per_second > 0 && quota.burst == 0) {
      add(FindingKind::kContradiction, "burst",
          "is below one request, so a request may always be above the rate");
    }
    if (quota.requests_per_second == 0 && quota.burst > 0) {
      add(FindingKind::kContradiction, "burst",
          "has no effect, because the team's rate is not limited");
    }
  }
}

auto CheckLimits(const RequestLimits& limits, Findings& findings) -> void {
  const auto add = [&](const char* field, const char* reason) {
    findings.push_back({FindingKind::kContradiction, EntryKind::kLimits,
                        "requests", field, reason});
  };
  if (limits.max_header_bytes == 0) {
    add("max_header_bytes", "of 0 allows no request");
  }
  if (limits.header_timeout <= Duration::zero()) {
    add("header_timeout", "of 0 leaves no time for a request");
  }
  if (limits.idle_timeout < limits.header_timeout) {
    add("idle_timeout", "is below the header timeout");
  }
}

auto CheckRow(const ServiceRow& row, Findings& findings) -> void {
  const auto add = [&](const char* field, std::string reason) {
    findings.push_back({FindingKind::kContradiction, EntryKind::kRow,
                        row.service.value(), field, std::move(reason)});
  };
  const auto targets = static_cast<double>(row.targets.size());
  if (row.floor > 0 && std::ceil(row.floor * targets) >= targets) {
    add("floor", "keeps all " + std::to_string(row.targets.size()) +
                     " targets in use, so that none can be ejected");
  }
  if (row.team_rate > 0 && row.team_burst < 1) {
    add("team_burst", "is below one request; 1 is used");
  }
  if (row.hedge_delay >= row.deadline && row.hedge_delay > Duration::zero()) {
    add("hedge_ms", "is not below the deadline, so no request is hedged");
  }
  if (row.hedge_delay > Duration::zero() && !row.repeatable) {
    add("hedge_ms", "has no effect, because the work is not repeatable");
  }
  if (row.long_bytes > row.max_body_bytes) {
    add("long_bytes", "is above max_body_bytes, so no work is long by size");
  }
}

}  // namespace

auto CheckConfiguration(const Routing& routing) -> Findings {
  Findings findings;
  std::set<ServiceId> services;
  for (const auto& service : routing.services) {
    services.insert(service.id);
  }
  for (const auto& route : routing.routes) {
    CheckPattern(route, findings);
    CheckShares(route, services, findings);
    CheckTimes(route, findings);
  }
  CheckDuplicates(routing, findings);
  CheckServices(routing, findings);
  if (routing.teams) {
    CheckTeams(*routing.teams, findings);
  }
  CheckLimits(routing.limits, findings);
  return findings;
}

auto CheckConfiguration(const Table& table) -> Findings {
  Findings findings;
  for (const auto& row : table.rows) {
    CheckRow(row, findings);
  }
  return findings;
}

}  // namespace flamingoyoke
