#ifndef FLAMINGOYOKE_CORE_ANSWER_TABLE_H_
#define FLAMINGOYOKE_CORE_ANSWER_TABLE_H_

#include <array>

#include "core/error_kind.h"
#include "core/name_table.h"

namespace flamingoyoke {

// What the fleet knows about the execution of a request.
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

// What a caller may do after an error answer.
enum class RetryAdvice {
  kNever,            // The same request cannot succeed.
  kNow,              // Another address may serve it at once.
  kLater,            // Retry after a pause.
  kOnlyIfRepeatable  // The request may have run.
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

// The answer that an error kind turns into.
struct Answer {
  int http_status;
  Outcome outcome;
  RetryAdvice advice;
};

// Returns the answer for `kind`. Thread-safe.
auto AnswerFor(ErrorKind kind) -> const Answer&;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_ANSWER_TABLE_H_
