#include "decision/gateway/split_chooser.h"

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

auto CountOf(SplitChooser& chooser, const Route& route, int requests)
    -> std::map<ServiceId, int> {
  std::map<ServiceId, int> counts;
  for (int i = 0; i < requests; ++i) {
    ++counts[chooser.Choose(route)];
  }
  return counts;
}

}  // namespace

// Guards against parts that differ from their weights over few requests.
Test(split_chooser, keeps_the_weights_exactly) {
  SplitChooser chooser;
  auto counts = CountOf(chooser, SplitRoute(90, 10), 100);
  cr_assert_eq(counts[ServiceId("a")], 90);
  cr_assert_eq(counts[ServiceId("b")], 10);
}

Test(split_chooser, spreads_the_smaller_part_evenly) {
  SplitChooser chooser;
  const auto route = SplitRoute(90, 10);
  for (int i = 0; i < 5; ++i) {
    auto counts = CountOf(chooser, route, 20);
    cr_assert_eq(counts[ServiceId("b")], 2);
  }
}

// Guards against weights of an older revision that stay in use.
Test(split_chooser, takes_new_weights_at_once) {
  SplitChooser chooser;
  CountOf(chooser, SplitRoute(90, 10), 7);
  auto counts = CountOf(chooser, SplitRoute(50, 50), 100);
  cr_assert_eq(counts[ServiceId("a")], 50);
}

Test(split_chooser, gives_nothing_to_a_weight_of_zero) {
  SplitChooser chooser;
  auto counts = CountOf(chooser, SplitRoute(0, 10), 50);
  cr_assert_eq(counts[ServiceId("a")], 0);
}

}  // namespace flamingoyoke
