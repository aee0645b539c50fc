#include "decision/gateway/service_splitter.h"

#include <criterion/criterion.h>

#include <map>

namespace flamingoyoke {
namespace {

auto SplitRoute(std::uint32_t first, std::uint32_t second) -> Route {
  Route route;
  route.name = "split";
  route.shares = {{ServiceId("a"), first}, {ServiceId("b"), second}};
  return route;
}

auto CountChoices(ServiceSplitter& splitter, const Route& route, int requests)
    -> std::map<ServiceId, int> {
  std::map<ServiceId, int> counts;
  for (int i = 0; i < requests; ++i) {
    ++counts[splitter.Choose(route)];
  }
  return counts;
}

}  // namespace

// Guards against deviating from the weights over a small number of requests.
Test(service_splitter, matches_the_weights_exactly) {
  ServiceSplitter splitter;
  auto counts = CountChoices(splitter, SplitRoute(90, 10), 100);
  cr_assert_eq(counts[ServiceId("a")], 90);
  cr_assert_eq(counts[ServiceId("b")], 10);
}

Test(service_splitter, distributes_the_smaller_share_evenly) {
  ServiceSplitter splitter;
  const auto route = SplitRoute(90, 10);
  for (int i = 0; i < 5; ++i) {
    auto counts = CountChoices(splitter, route, 20);
    cr_assert_eq(counts[ServiceId("b")], 2);
  }
}

// Guards against using the weights of an older revision.
Test(service_splitter, applies_new_weights_immediately) {
  ServiceSplitter splitter;
  CountChoices(splitter, SplitRoute(90, 10), 7);
  auto counts = CountChoices(splitter, SplitRoute(50, 50), 100);
  cr_assert_eq(counts[ServiceId("a")], 50);
}

Test(service_splitter, sends_nothing_to_a_weight_of_zero) {
  ServiceSplitter splitter;
  auto counts = CountChoices(splitter, SplitRoute(0, 10), 50);
  cr_assert_eq(counts[ServiceId("a")], 0);
}

}  // namespace flamingoyoke
