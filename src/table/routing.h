#ifndef FLAMINGOYOKE_TABLE_ROUTING_H_
#define FLAMINGOYOKE_TABLE_ROUTING_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// Whether a request may be sent to a second target after it may have run.
enum class Repeatability { kRepeatable, kOnce };

template <>
struct EnumNames<Repeatability> {
  static constexpr auto kTable = std::to_array<NameEntry<Repeatability>>({
      {Repeatability::kRepeatable, "repeatable"},
      {Repeatability::kOnce, "once"},
  });
};
static_assert(IsDense<Repeatability>());

// A service that takes a part of a route's requests.
struct ServiceShare {
  ServiceId service;
  // Relative to the other parts of the route; 0 takes none.
  std::uint32_t weight = 1;

  auto operator==(const ServiceShare&) const -> bool = default;
};

// One route of the published configuration: the requests of a host whose path
// begins with a prefix.
struct Route {
  std::string name;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  Repeatability repeatability = Repeatability::kOnce;
  // Longest time that a caller waits for an answer.
  Duration timeout = std::chrono::seconds(1);
  // Time within which an answer has its full value.
  Duration objective = std::chrono::seconds(1);
  // Rank among the requests of a service; 0 goes first.
  std::uint32_t priority = 0;
  // Targets that one request may run on.
  std::uint32_t max_attempts = 1;
  // At least one.
  std::vector<ServiceShare> shares;

  auto operator==(const Route&) const -> bool = default;
};

// A service as the published configuration describes it; its targets are in
// the registry.
struct RoutedService {
  ServiceId id;
  std::string health_path;
  // Connections that one target accepts from the whole fleet.
  std::uint32_t max_connections = 1;

  auto operator==(const RoutedService&) const -> bool = default;
};

// What one request may be.
struct RequestBounds {
  std::uint64_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(60);

  auto operator==(const RequestBounds&) const -> bool = default;
};

// A published configuration.
struct Routing {
  Revision revision;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  RequestBounds bounds;

  auto operator==(const Routing&) const -> bool = default;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_ROUTING_H_
