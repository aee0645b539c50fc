#include "integration/soak/soak_settings.h"

#include <criterion/criterion.h>

#include <fstream>
#include <nlohmann/json.hpp>

namespace flamingoyoke::integration {
namespace {

using nlohmann::json;

auto Milliseconds(const json& object, const char* name)
    -> std::chrono::milliseconds {
  return std::chrono::milliseconds(object.at(name).get<std::int64_t>());
}

auto ReadRoute(const json& route) -> RouteSettings {
  return {.prefix = route.at("prefix"),
          .kind = route.at("kind"),
          .service = route.at("service"),
          .timeout = Milliseconds(route, "timeout_ms"),
          .deadline = Milliseconds(route, "deadline_ms"),
          .body_bytes = route.at("body_bytes"),
          .median_work = Milliseconds(route, "median_work_ms"),
          .longest_work = Milliseconds(route, "longest_work_ms"),
          .pipelined = route.at("pipelined"),
          .weight = route.at("weight")};
}

auto ReadScarceProcessor(const json& processor) -> ScarceProcessor {
  return {.run = Milliseconds(processor, "run_ms"),
          .callers = processor.at("callers"),
          .requests_per_s = processor.at("requests_per_s")};
}

auto ReadTeam(const json& team) -> TeamSettings {
  return {.name = team.at("name"),
          .keys = team.at("keys"),
          .rate_per_s = team.at("rate_per_s"),
          .burst = team.at("burst"),
          .weight = team.at("weight")};
}

}  // namespace

auto ReadLimit(const std::string& name) -> SystemLimit {
  const auto limit = FromName<SystemLimit>(name);
  cr_assert(limit.has_value(), "unknown limit %s", name.c_str());
  return *limit;
}

auto ReadSoakSettings(const std::string& path) -> SoakSettings {
  std::ifstream file(path);
  cr_assert(file.good(), "cannot read %s", path.c_str());
  const auto root = json::parse(file);
  SoakSettings settings = {
      .gateways = root.at("gateways"),
      .added_gateways = root.at("added_gateways"),
      .callers = root.at("callers"),
      .requests_per_s = root.at("requests_per_s"),
      .targets = root.at("targets"),
      .slots = root.at("slots"),
      .routes = {},
      .teams = {},
      .address_ttl = Milliseconds(root, "address_ttl_ms"),
      .grace = Milliseconds(root, "grace_ms"),
      .storms = root.at("storms"),
      .storm = Milliseconds(root, "storm_ms"),
      .longest_fault_gap = Milliseconds(root, "longest_fault_gap_ms"),
      .roll_share = root.at("roll_share"),
      .grown_routes = root.at("grown_routes"),
      .limits = {},
      .scarce_processor = ReadScarceProcessor(root.at("scarce_processor"))};
  for (const auto& route : root.at("routes")) {
    settings.routes.push_back(ReadRoute(route));
  }
  for (const auto& team : root.at("teams")) {
    settings.teams.push_back(ReadTeam(team));
  }
  for (const auto& limit : root.at("limits")) {
    settings.limits.push_back(ReadLimit(limit));
  }
  return settings;
}

}  // namespace flamingoyoke::integration
