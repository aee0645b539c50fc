#include "table/target_reader.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/endpoint.h"
#include "core/name_rule.h"

namespace flamingoyoke {
namespace {

// The parts of `ip:port*weight@failure_domain`.
struct TargetText {
  std::string_view endpoint;
  std::optional<std::string_view> weight;
  std::optional<std::string_view> failure_domain;
};

auto SplitTarget(std::string_view item) -> TargetText {
  TargetText parts;
  const auto at = item.find('@');
  if (at != std::string_view::npos) {
    parts.failure_domain = item.substr(at + 1);
    item = item.substr(0, at);
  }
  const auto star = item.find('*');
  if (star != std::string_view::npos) {
    parts.weight = item.substr(star + 1);
    item = item.substr(0, star);
  }
  parts.endpoint = item;
  return parts;
}

// Reads one item; `seen` holds the endpoints of the items before it.
auto ReadTarget(std::string_view item,
                std::set<Endpoint>& seen,
                CellReader& cells) -> std::optional<TargetSpec> {
  const auto refuse = [&](const char* reason) {
    cells.Refuse(Column::kTargets, item, reason);
    return std::nullopt;
  };
  const auto parts = SplitTarget(item);
  const auto named = ParseEndpoint(parts.endpoint);
  if (!named || named->endpoint.port == 0) {
    return refuse(
        "the address must be an IP number and a port, for example "
        "10.0.0.1:8080*1@a");
  }
  if (!seen.insert(named->endpoint).second) {
    return refuse("the row lists this target twice");
  }
  const auto weight =
      parts.weight ? ParseReal(*parts.weight) : std::optional<double>(1.0);
  if (!weight || *weight < kWeightRange.least || *weight > kWeightRange.most) {
    return refuse("the weight must be a decimal number from 0.01 to 100");
  }
  if (parts.failure_domain && !IsValidName(*parts.failure_domain)) {
    return refuse(kNameRule);
  }
  return TargetSpec{TargetId(std::string(parts.endpoint)), named->host,
                    named->endpoint.port, *weight,
                    FailureDomainId(std::string(
                        parts.failure_domain.value_or(std::string_view())))};
}

}  // namespace

auto ReadTargets(CellReader& cells) -> std::vector<TargetSpec> {
  const auto items = cells.List(Column::kTargets);
  std::vector<TargetSpec> targets;
  if (items.empty()) {
    cells.Refuse(Column::kTargets, "", "a service needs at least one target");
    return targets;
  }
  if (items.size() > kMaxTargets) {
    cells.Refuse(Column::kTargets, std::to_string(items.size()),
                 "a service has at most 1000 targets");
    return targets;
  }
  std::set<Endpoint> seen;
  for (const auto item : items) {
    if (auto target = ReadTarget(item, seen, cells)) {
      targets.push_back(std::move(*target));
    }
  }
  return targets;
}

}  // namespace flamingoyoke
