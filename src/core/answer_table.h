#ifndef FLAMINGOYOKE_CORE_ANSWER_TABLE_H_
#define FLAMINGOYOKE_CORE_ANSWER_TABLE_H_

#include <array>

#include "core/error_kind.h"
#include "core/name_table.h"

namespace flamingoyoke {

// Whether a request was executed, as far as the fleet knows.
enum class Outcome { kRun, kNotRun, kUnknown };

template <>
struct EnumNames<Outcome> {
  static constexpr auto kTable = std::to_array<NameEntry<Outcome>>({
      {Outcome::kRun, "run"},
      {Outcome::kNotRun, "not-run"},
      {Outcome::kUnknown, "unknown"},
  });
};
static_assert(IsDense<Outcome>());

// When a caller may retry after an error response.
enum class RetryAdvice {
  kNever,            // The same request cannot succeed.
  kNow,              // Retry immediately; another address may serve it.
  kLater,            // Retry after a delay.
  kOnlyIfRepeatable  // It may have been executed: only if repeatable.
};

template <>
struct EnumNames<RetryAdvice> {
  static constexpr auto kTable = std::to_array<NameEntry<RetryAdvice>>({
      {RetryAdvice::kNever, "never"},
      {RetryAdvice::kNow, "now"},
      {RetryAdvice::kLater, "later"},
      {RetryAdvice::kOnlyIfRepeatable, "only-if-repeatable"},
  });
};
static_assert(IsDense<RetryAdvice>());

// The HTTP response to a request that failed with an error kind.
struct Answer {
  int http_status;
  Outcome outcome;
  RetryAdvice advice;
};

// Returns the response for `kind`. Thread-safe.
auto AnswerFor(ErrorKind kind) -> const Answer&;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_ANSWER_TABLE_H_
