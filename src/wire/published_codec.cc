#include "wire/published_codec.h"

#include <algorithm>
#include <utility>

#include "core/name_table.h"
#include "wire/fleet.pb.h"

namespace flamingoyoke {
namespace {

constexpr std::uint32_t kMaxPort = 65'535;

auto ToMicroseconds(Duration duration) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::max(duration, Duration::zero()).count());
}

auto ToDuration(std::uint64_t microseconds) -> Duration {
  return Duration(static_cast<std::int64_t>(microseconds));
}

auto Parse(google::protobuf::MessageLite& message, std::string_view bytes)
    -> Result<void> {
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(ErrorKind::kMalformedMessage, message.GetTypeName() + " of " +
                                                  std::to_string(bytes.size()) +
                                                  " bytes cannot be parsed");
  }
  return {};
}

auto EncodeRoute(const Route& route, wire::Route& encoded) -> void {
  encoded.set_name(route.name);
  encoded.set_host(route.host);
  encoded.set_prefix(route.prefix);
  encoded.set_repeatability(static_cast<std::uint32_t>(route.repeatability));
  encoded.set_timeout_us(ToMicroseconds(route.timeout));
  encoded.set_objective_us(ToMicroseconds(route.objective));
  encoded.set_priority(route.priority);
  encoded.set_max_attempts(route.max_attempts);
  encoded.set_is_public(route.is_public);
  for (const auto& share : route.shares) {
    auto* part = encoded.add_shares();
    part->set_service(share.service.value());
    part->set_weight(share.weight);
  }
}

auto DecodeRoute(const wire::Route& encoded) -> Result<Route> {
  if (encoded.repeatability() >= kEnumSize<Repeatability> ||
      encoded.shares().empty()) {
    return Fail(ErrorKind::kMalformedMessage,
                "route " + encoded.name() +
                    " has no service or an unknown repeatability");
  }
  Route route;
  route.name = encoded.name();
  route.host = encoded.host();
  route.prefix = encoded.prefix();
  route.repeatability = static_cast<Repeatability>(encoded.repeatability());
  route.timeout = ToDuration(encoded.timeout_us());
  route.objective = ToDuration(encoded.objective_us());
  route.priority = encoded.priority();
  route.max_attempts = encoded.max_attempts();
  route.is_public = encoded.is_public();
  for (const auto& part : encoded.shares()) {
    route.shares.push_back({ServiceId(part.service()), part.weight()});
  }
  return route;
}

auto EncodeTeam(const Team& team, wire::Team& encoded) -> void {
  encoded.set_id(team.id.value());
  for (const auto& key : team.keys) {
    encoded.add_keys(key);
  }
  encoded.set_requests_per_second(team.quota.requests_per_second);
  encoded.set_burst(team.quota.burst);
  if (team.priority) {
    encoded.set_priority(*team.priority);
  }
}

auto DecodeTeam(const wire::Team& encoded) -> Team {
  Team team;
  team.id = TeamId(encoded.id());
  team.keys.assign(encoded.keys().begin(), encoded.keys().end());
  team.quota = {encoded.requests_per_second(), encoded.burst()};
  if (encoded.has_priority()) {
    team.priority = encoded.priority();
  }
  return team;
}

}  // namespace

auto EncodeRouting(const Routing& routing) -> std::string {
  wire::Routing encoded;
  for (const auto& route : routing.routes) {
    EncodeRoute(route, *encoded.add_routes());
  }
  for (const auto& service : routing.services) {
    auto* each = encoded.add_services();
    each->set_id(service.id.value());
    each->set_health_path(service.health_path);
    each->set_max_connections(service.max_connections);
  }
  encoded.set_max_header_bytes(routing.limits.max_header_bytes);
  encoded.set_max_body_bytes(routing.limits.max_body_bytes);
  encoded.set_header_timeout_us(ToMicroseconds(routing.limits.header_timeout));
  encoded.set_idle_timeout_us(ToMicroseconds(routing.limits.idle_timeout));
  if (routing.teams) {
    auto& table = *encoded.mutable_teams();
    for (const auto& team : *routing.teams) {
      EncodeTeam(team, *table.add_teams());
    }
  }
  return encoded.SerializeAsString();
}

auto DecodeRouting(std::string_view bytes, Revision revision)
    -> Result<Routing> {
  wire::Routing encoded;
  BOOST_LEAF_CHECK(Parse(encoded, bytes));
  Routing routing;
  routing.revision = revision;
  for (const auto& each : encoded.routes()) {
    BOOST_LEAF_AUTO(route, DecodeRoute(each));
    routing.routes.push_back(std::move(route));
  }
  for (const auto& each : encoded.services()) {
    routing.services.push_back(
        {ServiceId(each.id()), each.health_path(), each.max_connections()});
  }
  routing.limits = {encoded.max_header_bytes(), encoded.max_body_bytes(),
                    ToDuration(encoded.header_timeout_us()),
                    ToDuration(encoded.idle_timeout_us())};
  if (encoded.has_teams()) {
    auto& teams = routing.teams.emplace();
    for (const auto& each : encoded.teams().teams()) {
      teams.push_back(DecodeTeam(each));
    }
  }
  return routing;
}

auto EncodeRegistry(const Registry& registry) -> std::string {
  wire::Registry encoded;
  for (const auto& target : registry.targets) {
    auto* each = encoded.add_targets();
    each->set_id(target.id.value());
    each->set_service(target.service.value());
    each->set_host(target.host);
    each->set_port(target.port);
    each->set_failure_domain(target.failure_domain.value());
    each->set_slots(target.slots);
    each->set_leaving(target.leaving);
    each->set_warming(target.warming);
    each->set_started_ms(target.started_ms);
    each->set_sequence(target.sequence);
  }
  return encoded.SerializeAsString();
}

auto DecodeRegistry(std::string_view bytes, Revision revision, StoreEra era)
    -> Result<Registry> {
  wire::Registry encoded;
  BOOST_LEAF_CHECK(Parse(encoded, bytes));
  Registry registry;
  registry.revision = revision;
  registry.era = era;
  for (const auto& each : encoded.targets()) {
    if (each.port() == 0 || each.port() > kMaxPort) {
      return Fail(
          ErrorKind::kMalformedMessage,
          "target " + each.id() + " has port " + std::to_string(each.port()));
    }
    registry.targets.push_back(
        {TargetId(each.id()), ServiceId(each.service()), each.host(),
         static_cast<std::uint16_t>(each.port()),
         FailureDomainId(each.failure_domain()), each.slots(), each.leaving(),
         each.warming(), each.started_ms(), each.sequence()});
  }
  return registry;
}

}  // namespace flamingoyoke
