#include "node/traffic/route_table.h"

#include <criterion/criterion.h>

#include <memory>

namespace flamingoyoke {
namespace {

auto MakeRow(const char* service, std::vector<std::string> routes)
    -> ServiceRow {
  ServiceRow row;
  row.service = ServiceId(service);
  row.routes = std::move(routes);
  return row;
}

// A short route that is listed first must not take precedence over a longer
// one.
Test(route_table, longest_prefix_wins) {
  const RouteTable routes(std::make_shared<const Table>(
      Table{Revision(1),
            {MakeRow("stock", {"/", "/stock"}),
             MakeRow("orders", {"/stock/orders", "/orders"})}}));
  cr_assert_eq(routes.Find("/stock/orders/7")->service, ServiceId("orders"));
  cr_assert_eq(routes.Find("/stock/7")->service, ServiceId("stock"));
  cr_assert_eq(routes.Find("/x")->service, ServiceId("stock"));
  cr_assert_eq(routes.FindService(ServiceId("orders"))->routes.size(), 2U);
}

// Guards against a crash on lookups without a table or a matching route.
Test(route_table, unknown_path_has_no_row) {
  cr_assert_null(RouteTable().Find("/"));
  const RouteTable routes(std::make_shared<const Table>(
      Table{Revision(1), {MakeRow("orders", {"/orders"})}}));
  cr_assert_null(routes.Find("/order"));
  cr_assert_null(routes.FindService(ServiceId("x")));
}

}  // namespace
}  // namespace flamingoyoke
