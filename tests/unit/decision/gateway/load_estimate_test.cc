#include "decision/gateway/load_estimate.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr double kNoLimit = 100;

auto News(std::uint32_t running, std::uint32_t waiting, TimePoint at)
    -> LoadNews {
  return {{running, waiting, 4}, at};
}

}  // namespace

// Guards against counting this gateway's requests twice: they are known, and a
// target's statement contains them.
Test(load_estimate, leaves_out_the_own_requests) {
  LoadEstimate estimate;
  LoadCounters counters;
  cr_assert_eq(estimate.Others(kStart, 0, kNoLimit), 0.0);
  estimate.OnStated(News(3, 1, kStart), 2, false, 0, counters);
  cr_assert_eq(estimate.Others(kStart, 0, kNoLimit), 2.0);
  // A shed request is not among the four.
  estimate.OnStated(News(4, 0, kStart), 2, true, 0, counters);
  cr_assert_eq(estimate.Others(kStart, 0, kNoLimit), 3.0);
}

// Guards against an estimate that is one request too low for targets whose
// statements leave out the answered request.
Test(load_estimate, learns_whether_statements_count_the_answered_request) {
  LoadEstimate estimate;
  LoadCounters counters;
  estimate.OnStated(News(0, 0, kStart), 1, false, 0, counters);
  estimate.OnStated(News(2, 0, kStart), 1, false, 0, counters);
  cr_assert_eq(estimate.Others(kStart, 0, kNoLimit), 2.0);
}

// Load: news that stops. Guards against believing an old statement: what the
// target had then ends at its own speed, and the others go on as on average.
Test(load_estimate, an_old_statement_gives_way_to_the_average) {
  LoadEstimate fast;
  LoadEstimate slow;
  LoadCounters counters;
  for (auto* const each : {&fast, &slow}) {
    each->OnAnswered(each == &fast ? milliseconds(50) : milliseconds(200));
    for (int i = 0; i < 50; ++i) {
      each->OnStated(News(1, 0, kStart), 0, false, 0, counters);
    }
    each->OnStated(News(4, 4, kStart), 0, false, 0, counters);
  }
  const auto soon = kStart + milliseconds(100);
  cr_assert_lt(fast.Others(soon, 0, kNoLimit), slow.Others(soon, 0, kNoLimit));
  const auto average = fast.Others(kStart + seconds(10), 0, kNoLimit);
  cr_assert_geq(average, 1.0);
  cr_assert_lt(average, 3.0);
  cr_assert_lt(slow.Others(kStart + seconds(10), 0, 1), 1.01);
}

// Guards against an answer that ends late, with a statement older than the
// last one.
Test(load_estimate, ignores_an_older_statement) {
  LoadEstimate estimate;
  LoadCounters counters;
  estimate.OnStated(News(3, 0, kStart + seconds(1)), 0, false, 0, counters);
  estimate.OnStated(News(0, 0, kStart), 0, false, 0, counters);
  cr_assert_eq(estimate.Others(kStart + seconds(1), 0, kNoLimit), 3.0);
  cr_assert_eq(counters.news, 1U);
}

Test(load_estimate, counts_age_error_and_attempts_beyond_the_slots) {
  LoadEstimate estimate;
  LoadCounters counters;
  estimate.OnStated(News(2, 0, kStart), 0, false, 0, counters);
  estimate.OnStated(News(4, 3, kStart + seconds(1)), 0, false, 0, counters);
  estimate.OnStated(News(4, 4, kStart + seconds(1)), 0, true, 0, counters);
  cr_assert_eq(counters.news, 3U);
  cr_assert_eq(ToMilliseconds(counters.age), 1000);
  cr_assert_eq(counters.beyond_slots, 2U);
  // A second later the first statement says little: 0.4 expected against 7.
  // Then 7 against 8.
  cr_assert_float_eq(counters.error, 7.6, 0.1);
}

}  // namespace flamingoyoke
