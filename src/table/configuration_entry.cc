#include "table/configuration_entry.h"

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <tuple>

namespace flamingoyoke {
namespace {

auto Text(double number) -> std::string {
  std::ostringstream text;
  text << number;
  return text.str();
}

auto Text(std::uint64_t number) -> std::string {
  return std::to_string(number);
}

auto Text(bool value) -> std::string {
  return value ? "yes" : "no";
}

auto Text(Duration duration) -> std::string {
  return std::to_string(ToMilliseconds(duration)) + " ms";
}

// Joins the texts of `values` with spaces.
template <typename Values, typename Format>
auto Join(const Values& values, Format&& format) -> std::string {
  std::string text;
  for (const auto& value : values) {
    text += (text.empty() ? "" : " ") + format(value);
  }
  return text;
}

auto EntryOf(const Route& route) -> ConfigurationEntry {
  const auto share = [](const ServiceShare& each) {
    return each.service.value() + "*" + std::to_string(each.weight);
  };
  return {EntryKind::kRoute,
          route.name,
          {{"host", route.host},
           {"prefix", route.prefix},
           {"repeatability", std::string(ToName(route.repeatability))},
           {"timeout", Text(route.timeout)},
           {"objective", Text(route.objective)},
           {"priority", Text(std::uint64_t{route.priority})},
           {"max_attempts", Text(std::uint64_t{route.max_attempts})},
           {"shares", Join(route.shares, share)},
           {"public", Text(route.is_public)}}};
}

auto EntryOf(const RoutedService& service) -> ConfigurationEntry {
  return {EntryKind::kService,
          service.id.value(),
          {{"health_path", service.health_path},
           {"max_connections", Text(std::uint64_t{service.max_connections})}}};
}

auto EntryOf(const Team& team) -> ConfigurationEntry {
  const auto count = team.keys.size();
  auto keys = team.keys;
  std::sort(keys.begin(), keys.end());
  return {EntryKind::kTeam,
          team.id.value(),
          {{"keys", std::to_string(count) + (count == 1 ? " key" : " keys"),
            Join(keys, [](const std::string& key) { return key; })},
           {"requests_per_second", Text(team.quota.requests_per_second)},
           {"burst", Text(team.quota.burst)},
           {"priority", team.priority ? Text(std::uint64_t{*team.priority})
                                      : "of the route"}}};
}

auto EntryOf(const RequestLimits& limits) -> ConfigurationEntry {
  return {EntryKind::kLimits,
          "requests",
          {{"max_header_bytes", Text(limits.max_header_bytes)},
           {"max_body_bytes", Text(limits.max_body_bytes)},
           {"header_timeout", Text(limits.header_timeout)},
           {"idle_timeout", Text(limits.idle_timeout)}}};
}

auto EntryOf(const ServiceRow& row) -> ConfigurationEntry {
  const auto target = [](const TargetSpec& each) {
    return each.id.value() + "*" + Text(each.weight) + "@" +
           each.failure_domain.value();
  };
  return {EntryKind::kRow,
          row.service.value(),
          {{"route", Join(row.routes, [](const auto& route) { return route; })},
           {"targets", Join(row.targets, target)},
           {"slots", Text(std::uint64_t{row.slots})},
           {"connections", Text(std::uint64_t{row.connections})},
           {"home", Text(std::uint64_t{row.home})},
           {"floor", Text(row.floor)},
           {"deadline_ms", Text(row.deadline)},
           {"repeatable", Text(row.repeatable)},
           {"key", std::string(ToName(row.key_policy))},
           {"queue", Text(std::uint64_t{row.queue_limit})},
           {"team_rate", Text(row.team_rate)},
           {"team_burst", Text(row.team_burst)},
           {"long_bytes", Text(row.long_bytes)},
           {"long_share", Text(row.long_share)},
           {"max_body_bytes", Text(row.max_body_bytes)},
           {"retry", Text(row.retry_share)},
           {"hedge_ms", Text(row.hedge_delay)}}};
}

auto IdOf(const ConfigurationEntry& entry) {
  return std::tie(entry.kind, entry.name);
}

auto Sort(std::vector<ConfigurationEntry>& entries) -> void {
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return IdOf(a) < IdOf(b); });
}

auto AddChangedFields(const ConfigurationEntry& before,
                      const ConfigurationEntry& after,
                      std::vector<ConfigurationDifference>& differences)
    -> void {
  for (const auto& field : after.fields) {
    const auto old = std::find_if(before.fields.begin(), before.fields.end(),
                                  [&](const ConfigurationField& each) {
                                    return each.name == field.name;
                                  });
    const bool is_known = old != before.fields.end();
    if (is_known && old->text == field.text && old->secret == field.secret) {
      continue;
    }
    differences.push_back({DifferenceKind::kChanged, after.kind, after.name,
                           field.name, is_known ? old->text : std::string(),
                           field.text});
  }
}

}  // namespace

auto EntriesOf(const Routing& routing) -> std::vector<ConfigurationEntry> {
  std::vector<ConfigurationEntry> entries;
  for (const auto& route : routing.routes) {
    entries.push_back(EntryOf(route));
  }
  for (const auto& service : routing.services) {
    entries.push_back(EntryOf(service));
  }
  if (routing.teams) {
    for (const auto& team : *routing.teams) {
      entries.push_back(EntryOf(team));
    }
  }
  entries.push_back(EntryOf(routing.limits));
  Sort(entries);
  return entries;
}

auto EntriesOf(const Table& table) -> std::vector<ConfigurationEntry> {
  std::vector<ConfigurationEntry> entries;
  for (const auto& row : table.rows) {
    entries.push_back(EntryOf(row));
  }
  Sort(entries);
  return entries;
}

auto CompareEntries(const std::vector<ConfigurationEntry>& before,
                    const std::vector<ConfigurationEntry>& after)
    -> std::vector<ConfigurationDifference> {
  std::vector<ConfigurationDifference> differences;
  auto old = before.begin();
  auto present = after.begin();
  while (old != before.end() || present != after.end()) {
    if (present == after.end() ||
        (old != before.end() && IdOf(*old) < IdOf(*present))) {
      differences.push_back(
          {DifferenceKind::kRemoved, old->kind, old->name, {}, {}, {}});
      ++old;
    } else if (old == before.end() || IdOf(*present) < IdOf(*old)) {
      differences.push_back(
          {DifferenceKind::kAdded, present->kind, present->name, {}, {}, {}});
      ++present;
    } else {
      AddChangedFields(*old, *present, differences);
      ++old;
      ++present;
    }
  }
  return differences;
}

}  // namespace flamingoyoke
