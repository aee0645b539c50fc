#include "core/answer_table.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

// Guards against a response that reports "not run" although bytes of the
// request may have reached an upstream.
Test(answer_table, errors_after_the_first_byte_are_never_not_run) {
  for (const auto kind :
       {ErrorKind::kUpstreamTimeout, ErrorKind::kUpstreamReset,
        ErrorKind::kPartialAnswer, ErrorKind::kFalseRefusal,
        ErrorKind::kHardStopInFlight, ErrorKind::kKeyIssuerGone,
        ErrorKind::kKeyExpired, ErrorKind::kKeyInFlight,
        ErrorKind::kInternal}) {
    cr_assert(AnswerFor(kind).outcome != Outcome::kNotRun);
  }
}

// Guards against a success status in an error response.
Test(answer_table, every_kind_has_an_error_status) {
  for (const auto& entry : EnumNames<ErrorKind>::kTable) {
    cr_assert_geq(AnswerFor(entry.value).http_status, 300);
    cr_assert_leq(AnswerFor(entry.value).http_status, 599);
  }
}

// Guards against advising an immediate retry of a request that may have been
// executed.
Test(answer_table, unknown_outcomes_advise_no_blind_retry) {
  for (const auto& entry : EnumNames<ErrorKind>::kTable) {
    const auto& answer = AnswerFor(entry.value);
    if (answer.outcome == Outcome::kUnknown &&
        entry.value != ErrorKind::kKeyIssuedElsewhere) {
      cr_assert(answer.advice != RetryAdvice::kNow);
    }
  }
}

// Guards against names that do not survive a round trip through settings,
// metrics or reports.
Test(answer_table, names_round_trip) {
  for (const auto& entry : EnumNames<ErrorKind>::kTable) {
    cr_assert(FromName<ErrorKind>(ToName(entry.value)) == entry.value);
  }
}

}  // namespace
}  // namespace flamingoyoke
