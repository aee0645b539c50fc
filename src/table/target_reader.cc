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
struct TargetParts {
  std::string_view endpoint;
  std::optional<std::string_view> weight;
  std::optional<std::string_view> failure_domain;
};

auto SplitTarget(std::string_view item) -> TargetParts {
  TargetParts parts;
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

// Parses one item. `seen` holds the endpoints of the preceding items.
auto ReadTarget(std::string_view item,
                std::set<Endpoint>& seen,
                CellReader& cells) -> std::optional<TargetSpec> {
  const auto reject = [&](const char* reason) {
    cells.AddFault(Column::kTargets, item, reason);
    return std::nullopt;
  };
  const auto parts = SplitTarget(item);
  const auto address = ParseEndpoint(parts.endpoint);
  if (!address || address->endpoint.port == 0) {
    return reject(
        "the address must be an IP address and a port, for example "
        "10.0.0.1:8080*1@a");
  }
  if (!seen.insert(address->endpoint).second) {
    return reject("the row lists this target twice");
  }
  const auto weight = parts.weight ? ParseNonNegativeDecimal(*parts.weight)
                                   : std::optional<double>(1.0);
  if (!weight || *weight < kWeightRange.min || *weight > kWeightRange.max) {
    return reject("the weight must be a decimal number from 0.01 to 100");
  }
  if (parts.failure_domain && !IsValidName(*parts.failure_domain)) {
    return reject(kNameRule);
  }
  return TargetSpec{TargetId(std::string(parts.endpoint)), address->host,
                    address->endpoint.port, *weight,
                    FailureDomainId(std::string(
                        parts.failure_domain.value_or(std::string_view())))};
}

}  // namespace

auto ReadTargets(CellReader& cells) -> std::vector<TargetSpec> {
  const auto items = cells.ReadList(Column::kTargets);
  std::vector<TargetSpec> targets;
  if (items.empty()) {
    cells.AddFault(Column::kTargets, "", "a service needs at least one target");
    return targets;
  }
  if (items.size() > kMaxTargets) {
    cells.AddFault(Column::kTargets, std::to_string(items.size()),
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
