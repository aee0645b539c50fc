#ifndef FLAMINGOYOKE_TABLE_ROUTING_H_
#define FLAMINGOYOKE_TABLE_ROUTING_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// Whether a request may be retried on another target after it may already have
// run.
enum class Repeatability { kRepeatable, kOnce };

template <>
struct EnumNames<Repeatability> {
  static constexpr auto kTable = std::to_array<NameEntry<Repeatability>>({
      {Repeatability::kRepeatable, "repeatable"},
      {Repeatability::kOnce, "once"},
  });
};
static_assert(IsDense<Repeatability>());

// A service with its share of the requests of a route.
struct ServiceShare {
  ServiceId service;
  // Relative to the other shares of the route; a share with weight 0 gets no
  // requests.
  std::uint32_t weight = 1;

  auto operator==(const ServiceShare&) const -> bool = default;
};

// A route of the published configuration. Matches the requests to a host whose
// path starts with a prefix.
struct Route {
  std::string name;
  // Lower case, without a port.
  std::string host;
  // Starts and ends with a slash.
  std::string prefix;
  Repeatability repeatability = Repeatability::kOnce;
  // Maximum time that a caller waits for the response.
  Duration timeout = std::chrono::seconds(1);
  // Latency objective of the response.
  Duration objective = std::chrono::seconds(1);
  // Priority among the requests of a service; 0 is the highest.
  std::uint32_t priority = 0;
  // Maximum number of targets that a request is sent to.
  std::uint32_t max_attempts = 1;
  // Never empty.
  std::vector<ServiceShare> shares;
  // Whether requests need no team's key even if the configuration has teams.
  bool is_public = false;

  auto operator==(const Route&) const -> bool = default;
};

// A service of the published configuration. The registry holds its targets.
struct RoutedService {
  ServiceId id;
  std::string health_path;
  // Maximum number of connections to one target from the whole fleet.
  std::uint32_t max_connections = 1;

  auto operator==(const RoutedService&) const -> bool = default;
};

// Maximum rate of the requests of a team over all gateways.
struct TeamQuota {
  // Zero means that the team is not limited.
  std::uint64_t requests_per_second = 0;
  // Requests above the rate that may run at once.
  std::uint64_t burst = 0;

  auto operator==(const TeamQuota&) const -> bool = default;
};

// A team whose callers name one of its keys in each request.
struct Team {
  TeamId id;
  // Secrets; they must not appear in logs, metrics, traces or reports.
  std::vector<std::string> keys;
  TeamQuota quota;
  // Replaces the priority of the route if it is set.
  std::optional<std::uint32_t> priority;

  auto operator==(const Team&) const -> bool = default;
};

// Size and time limits of a request.
struct RequestLimits {
  std::uint64_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(60);

  auto operator==(const RequestLimits&) const -> bool = default;
};

// The published configuration of routes and services.
struct Routing {
  Revision revision;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  RequestLimits limits;
  // Sorted by id. Unset if the configuration has no table of teams: requests
  // need no key then.
  std::optional<std::vector<Team>> teams = {};

  auto operator==(const Routing&) const -> bool = default;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_ROUTING_H_
