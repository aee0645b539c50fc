#include "table/uniqueness_check.h"

#include "core/name_table.h"
#include "table/column.h"

namespace flamingoyoke {
namespace {

// "/stock" and "/stock/" match the same paths, so routes are compared without
// the trailing slash.
auto StripTrailingSlash(const std::string& route) -> std::string {
  return route.size() > 1 && route.back() == '/'
             ? route.substr(0, route.size() - 1)
             : route;
}

}  // namespace

auto UniquenessCheck::Check(const ServiceRow& row,
                            std::size_t row_number,
                            FaultList& faults) -> void {
  const auto& name = row.service.value();
  if (!name.empty()) {
    const auto [first, is_new] =
        services_.try_emplace(name, FirstOccurrence{row_number, name});
    if (!is_new) {
      faults.Add(row_number, ToName(Column::kService), name,
                 "the service is already defined in row " +
                     std::to_string(first->second.row));
    }
  }
  for (const auto& route : row.routes) {
    CheckRoute(route, row_number, faults);
  }
}

auto UniquenessCheck::CheckRoute(const std::string& route,
                                 std::size_t row_number,
                                 FaultList& faults) -> void {
  const auto [first, is_new] = routes_.try_emplace(
      StripTrailingSlash(route), FirstOccurrence{row_number, route});
  if (is_new) {
    return;
  }
  const auto& occurrence = first->second;
  const bool is_same = occurrence.text == route;
  faults.Add(row_number, ToName(Column::kRoute), route,
             (is_same ? "the route is already defined in row "
                      : "the route matches the same paths as `" +
                            occurrence.text + "` in row ") +
                 std::to_string(occurrence.row));
}

}  // namespace flamingoyoke
