#include "decision/platform/read_recovery.h"

#include <criterion/criterion.h>

#include <chrono>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kTimeout = milliseconds(500);

// Returns the recovery of a reader that the store has answered.
auto Answered() -> ReadRecovery {
  ReadRecovery recovery;
  recovery.OnStarted();
  recovery.OnAnswered();
  return recovery;
}

}  // namespace

// Guards against keeping removed targets: a cut connection is no evidence that
// entries expired unseen, however often it happens.
Test(read_recovery, retries_reads_that_are_cut_again_and_again) {
  auto recovery = Answered();
  for (int i = 0; i < 10; ++i) {
    const auto asked = kStart + milliseconds(2000 * i);
    const auto cut = asked + milliseconds(400);
    cr_assert(recovery.ShouldRetry(ReadOutcome::kCut, asked, cut));
    cr_assert(recovery.ShouldRetry(ReadOutcome::kCut, cut + milliseconds(20),
                                   cut + milliseconds(40)));
    cr_assert(recovery.is_retrying());
    recovery.OnAnswered();
    cr_assert_not(recovery.is_retrying());
  }
}

// Guards against keeping removed targets because a link dropped the connection
// of a watch without notice, and against waiting long for the answer that shows
// whether the store is available.
Test(read_recovery, retries_a_silent_watch_with_a_short_timeout) {
  auto recovery = Answered();
  const auto silent = kStart + milliseconds(1100);
  cr_assert(recovery.ShouldRetry(ReadOutcome::kTimedOut, kStart, silent));
  const auto limit = kStart + ReadRecovery::kMaxUnansweredTime;
  cr_assert_eq(recovery.LimitTimeout(kTimeout, silent), limit - silent);
  cr_assert_not(recovery.ShouldRetry(ReadOutcome::kTimedOut, silent, limit));
  // Later reads of an unavailable store get their normal timeout again.
  cr_assert_eq(recovery.LimitTimeout(kTimeout, limit), kTimeout);
  recovery.OnAnswered();
  cr_assert_eq(recovery.LimitTimeout(kTimeout, limit), kTimeout);
}

// Guards against a store that is down and hides behind cut or silent
// connections: entries of live targets may expire meanwhile.
Test(read_recovery, gives_up_when_no_read_is_answered) {
  for (const auto outcome : {ReadOutcome::kCut, ReadOutcome::kTimedOut}) {
    auto recovery = Answered();
    cr_assert(recovery.ShouldRetry(outcome, kStart, kStart + milliseconds(50)));
    const auto limit = kStart + ReadRecovery::kMaxUnansweredTime;
    cr_assert_not(
        recovery.ShouldRetry(outcome, limit - milliseconds(10), limit));
  }
}

// Guards against treating a store that refuses connections like one whose
// connections fail: other readers must take over at once.
Test(read_recovery, a_refused_connection_counts_as_an_unavailable_store) {
  for (const auto outcome :
       {ReadOutcome::kUnreachable, ReadOutcome::kTooLarge}) {
    auto recovery = Answered();
    cr_assert_not(
        recovery.ShouldRetry(outcome, kStart, kStart + milliseconds(1)));
  }
}

// Guards against a new reader that never reached the store and delays those
// that could read in its place.
Test(read_recovery, a_reader_without_an_answer_does_not_retry) {
  auto recovery = Answered();
  recovery.OnStarted();
  for (const auto outcome : {ReadOutcome::kCut, ReadOutcome::kTimedOut}) {
    cr_assert_not(
        recovery.ShouldRetry(outcome, kStart, kStart + milliseconds(10)));
  }
}

}  // namespace flamingoyoke
