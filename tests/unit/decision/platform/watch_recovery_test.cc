#include "decision/platform/watch_recovery.h"

#include <criterion/criterion.h>

#include <chrono>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

// Guards against keeping removed targets: a cut connection is no evidence that
// entries expired unseen, however often it happens.
Test(watch_recovery, resumes_watches_that_are_cut_again_and_again) {
  WatchRecovery recovery;
  for (int i = 0; i < 10; ++i) {
    const auto cut = kStart + milliseconds(2000 * i);
    cr_assert(recovery.ShouldResume(ReadOutcome::kCut, cut));
    cr_assert(recovery.ShouldResume(ReadOutcome::kCut, cut + milliseconds(20)));
    cr_assert(recovery.is_resuming());
    recovery.OnAnswered();
    cr_assert_not(recovery.is_resuming());
  }
}

// Guards against a store that is down and hides behind cut connections.
Test(watch_recovery, gives_up_when_no_watch_is_answered) {
  WatchRecovery recovery;
  cr_assert(recovery.ShouldResume(ReadOutcome::kCut, kStart));
  cr_assert_not(recovery.ShouldResume(ReadOutcome::kCut,
                                      kStart + WatchRecovery::kMaxCutTime));
}

// Guards against treating a store that does not answer like one that cuts
// connections: entries of live targets may expire meanwhile.
Test(watch_recovery, other_failures_count_as_an_unavailable_store) {
  for (const auto outcome : {ReadOutcome::kTimedOut, ReadOutcome::kUnreachable,
                             ReadOutcome::kTooLarge}) {
    WatchRecovery recovery;
    cr_assert_not(recovery.ShouldResume(outcome, kStart));
  }
}

}  // namespace flamingoyoke
