#include "table/uniqueness_check.h"

#include "core/name_table.h"
#include "table/column.h"

namespace flamingoyoke {
namespace {

// "/stock" and "/stock/" would match the same paths, so they are compared
// without the last slash.
auto Normalize(const std::string& route) -> std::string {
  return route.size() > 1 && route.back() == '/'
             ? route.substr(0, route.size() - 1)
             : route;
}

}  // namespace

auto UniquenessCheck::Check(const ServiceRow& row,
                            std::size_t number,
                            FaultList& faults) -> void {
  const auto& name = row.service.value();
  if (!name.empty()) {
    const auto [first, is_new] =
        services_.try_emplace(name, FirstUse{number, name});
    if (!is_new) {
      faults.Add(number, ToName(Column::kService), name,
                 "the service already stands in row " +
                     std::to_string(first->second.row));
    }
  }
  for (const auto& route : row.routes) {
    CheckRoute(route, number, faults);
  }
}

auto UniquenessCheck::CheckRoute(const std::string& route,
                                 std::size_t number,
                                 FaultList& faults) -> void {
  const auto [first, is_new] =
      routes_.try_emplace(Normalize(route), FirstUse{number, route});
  if (is_new) {
    return;
  }
  const auto& use = first->second;
  const bool is_same = use.text == route;
  faults.Add(number, ToName(Column::kRoute), route,
             (is_same ? "the route already stands in row "
                      : "the route matches the same paths as `" + use.text +
                            "` in row ") +
                 std::to_string(use.row));
}

}  // namespace flamingoyoke
