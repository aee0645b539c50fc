#include "decision/platform/read_schedule.h"

#include <criterion/criterion.h>

#include <chrono>
#include <set>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against reading without delay while the service is unavailable.
Test(read_schedule, backs_off_up_to_a_limit) {
  ReadSchedule schedule{Random(1)};
  Duration last = Duration::zero();
  for (int failure = 0; failure < 20; ++failure) {
    last = schedule.DelayAfterFailure();
    cr_assert(last >= milliseconds(125));
    cr_assert(last <= seconds(4));
  }
  cr_assert(last >= seconds(2));
}

// Guards against a long back-off after the service has recovered.
Test(read_schedule, resets_the_back_off_after_an_answer) {
  ReadSchedule schedule{Random(1)};
  for (int failure = 0; failure < 10; ++failure) {
    schedule.DelayAfterFailure();
  }
  cr_assert(schedule.DelayAfterAnswer() <= milliseconds(100));
  cr_assert(schedule.DelayAfterFailure() <= milliseconds(250));
}

// Guards against nodes that read at the same time after a common restart.
Test(read_schedule, jitters_the_first_reads_of_nodes) {
  std::set<Duration> delays;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    delays.insert(ReadSchedule{Random(seed)}.FirstDelay());
  }
  cr_assert_gt(delays.size(), 35);
}

}  // namespace
// Guards against bytes that grow with the square of the targets while many of
// them register: on jutagatt-large eleven VMs got 25 to 70 versions of the
// registry each, of up to 61 kB, within four seconds.
Test(read_schedule, batches_changes_of_a_large_registry) {
  constexpr auto kMinimum = milliseconds(50);
  cr_assert(ReadSchedule::WatchInterval(kMinimum, 0) == kMinimum);
  cr_assert(ReadSchedule::WatchInterval(kMinimum, 3'000) == kMinimum);
  const auto large = ReadSchedule::WatchInterval(kMinimum, 61'000);
  cr_assert_leq(61'000 / ToSeconds(large), 250'000.0);
  // A target that leaves must get no requests after two seconds.
  cr_assert(ReadSchedule::WatchInterval(kMinimum, 7'500'000) ==
            milliseconds(250));
}

}  // namespace flamingoyoke
