#include "core/answer_table.h"

#include <array>
#include <cstddef>

namespace flamingoyoke {
namespace {

struct AnswerEntry {
  ErrorKind kind;
  Answer answer;
};

using enum ErrorKind;
using enum Outcome;
using enum RetryAdvice;

constexpr auto kAnswers = std::to_array<AnswerEntry>({
    {kMalformedRequest, {400, kNotRun, kNever}},
    {kConflictingHeaders, {400, kNotRun, kNever}},
    {kUnexpectedBody, {400, kNotRun, kNever}},
    {kRequestTooLarge, {413, kNotRun, kNever}},
    {kRequestTooSlow, {408, kNotRun, kLater}},
    {kNoRoute, {404, kNotRun, kNever}},
    {kUnknownService, {404, kNotRun, kNever}},
    {kInvalidHeader, {400, kNotRun, kNever}},
    {kUnauthorized, {401, kNotRun, kNever}},
    {kBodyBudgetExhausted, {503, kNotRun, kNow}},
    {kOverloaded, {503, kNotRun, kLater}},
    {kQueueFull, {503, kNotRun, kLater}},
    {kTeamLimit, {429, kNotRun, kLater}},
    {kDeadlineUnreachable, {503, kNotRun, kLater}},
    {kDeadlinePassed, {504, kNotRun, kLater}},
    {kNotReady, {503, kNotRun, kNow}},
    {kLeaving, {503, kNotRun, kNow}},
    {kHardStopQueued, {503, kNotRun, kNow}},
    {kHardStopInFlight, {503, kUnknown, kOnlyIfRepeatable}},
    {kNoTarget, {503, kNotRun, kLater}},
    {kConnectFailed, {502, kNotRun, kLater}},
    {kUpstreamShed, {503, kNotRun, kLater}},
    {kUpstreamTimeout, {504, kUnknown, kOnlyIfRepeatable}},
    {kUpstreamReset, {502, kUnknown, kOnlyIfRepeatable}},
    {kPartialAnswer, {502, kUnknown, kOnlyIfRepeatable}},
    {kFalseRefusal, {502, kUnknown, kOnlyIfRepeatable}},
    {kKeyRequired, {428, kNotRun, kNever}},
    {kKeyMalformed, {400, kNotRun, kNever}},
    {kKeyIssuedElsewhere, {307, kUnknown, kNow}},
    {kKeyIssuerGone, {409, kUnknown, kNever}},
    {kKeyExpired, {409, kUnknown, kNever}},
    {kKeyInFlight, {409, kUnknown, kLater}},
    {kKeyAnswerNotKept, {409, kRun, kNever}},
    {kKeyLedgerFull, {503, kNotRun, kLater}},
    {kTableRefused, {500, kNotRun, kNever}},
    {kSettingsInvalid, {500, kNotRun, kNever}},
    {kPlatformUnavailable, {503, kNotRun, kLater}},
    {kMailboxFull, {503, kNotRun, kLater}},
    {kMalformedMessage, {500, kNotRun, kNever}},
    {kSocketFailed, {500, kNotRun, kLater}},
    {kAddressInUse, {500, kNotRun, kLater}},
    {kResourceRefused, {500, kUnknown, kOnlyIfRepeatable}},
    {kChildFailed, {500, kUnknown, kOnlyIfRepeatable}},
    {kInternal, {500, kUnknown, kOnlyIfRepeatable}},
});

constexpr auto IsComplete() -> bool {
  if (kAnswers.size() != kEnumSize<ErrorKind>) {
    return false;
  }
  for (std::size_t i = 0; i < kAnswers.size(); ++i) {
    if (static_cast<std::size_t>(kAnswers[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsComplete(), "every error kind has one answer, in order");

}  // namespace

auto AnswerFor(ErrorKind kind) -> const Answer& {
  return kAnswers[static_cast<std::size_t>(kind)].answer;
}

}  // namespace flamingoyoke
