#ifndef FLAMINGOYOKE_CORE_ERROR_KIND_H_
#define FLAMINGOYOKE_CORE_ERROR_KIND_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke {

// All kinds of errors of the process. `answer_table.h` maps each kind to the
// HTTP response that a caller gets.
enum class ErrorKind {
  // Request parsing and routing.
  kMalformedRequest,
  kConflictingHeaders,
  kUnexpectedBody,
  kRequestTooLarge,
  kRequestTooSlow,
  kNoRoute,
  kUnknownService,
  kInvalidHeader,
  kUnauthorized,
  // Admission.
  kBodyBudgetExhausted,
  kOverloaded,
  kQueueFull,
  kTeamLimit,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kNotReady,
  kLeaving,
  kHardStopQueued,
  kHardStopInFlight,
  // Upstreams.
  kNoTarget,
  kConnectFailed,
  kUpstreamShed,
  kUpstreamTimeout,
  kUpstreamReset,
  kPartialAnswer,
  kFalseRefusal,
  // Idempotency keys.
  kKeyRequired,
  kKeyMalformed,
  kKeyIssuedElsewhere,
  kKeyIssuerGone,
  kKeyExpired,
  kKeyInFlight,
  kKeyAnswerNotKept,
  kKeyLedgerFull,
  // Table and settings.
  kTableRefused,
  kSettingsInvalid,
  // Internal components and external systems.
  kPlatformUnavailable,
  kMailboxFull,
  kMalformedMessage,
  kSocketFailed,
  kAddressInUse,
  kResourceRefused,
  kChildFailed,
  kInternal,
};

template <>
struct EnumNames<ErrorKind> {
  static constexpr auto kTable = std::to_array<NameEntry<ErrorKind>>({
      {ErrorKind::kMalformedRequest, "malformed-request"},
      {ErrorKind::kConflictingHeaders, "conflicting-headers"},
      {ErrorKind::kUnexpectedBody, "unexpected-body"},
      {ErrorKind::kRequestTooLarge, "request-too-large"},
      {ErrorKind::kRequestTooSlow, "request-too-slow"},
      {ErrorKind::kNoRoute, "no-route"},
      {ErrorKind::kUnknownService, "unknown-service"},
      {ErrorKind::kInvalidHeader, "invalid-header"},
      {ErrorKind::kUnauthorized, "unauthorized"},
      {ErrorKind::kBodyBudgetExhausted, "body-budget-exhausted"},
      {ErrorKind::kOverloaded, "overloaded"},
      {ErrorKind::kQueueFull, "queue-full"},
      {ErrorKind::kTeamLimit, "team-limit"},
      {ErrorKind::kDeadlineUnreachable, "deadline-unreachable"},
      {ErrorKind::kDeadlinePassed, "deadline-passed"},
      {ErrorKind::kNotReady, "not-ready"},
      {ErrorKind::kLeaving, "leaving"},
      {ErrorKind::kHardStopQueued, "hard-stop-queued"},
      {ErrorKind::kHardStopInFlight, "hard-stop-in-flight"},
      {ErrorKind::kNoTarget, "no-target"},
      {ErrorKind::kConnectFailed, "connect-failed"},
      {ErrorKind::kUpstreamShed, "upstream-shed"},
      {ErrorKind::kUpstreamTimeout, "upstream-timeout"},
      {ErrorKind::kUpstreamReset, "upstream-reset"},
      {ErrorKind::kPartialAnswer, "partial-answer"},
      {ErrorKind::kFalseRefusal, "false-refusal"},
      {ErrorKind::kKeyRequired, "key-required"},
      {ErrorKind::kKeyMalformed, "key-malformed"},
      {ErrorKind::kKeyIssuedElsewhere, "key-issued-elsewhere"},
      {ErrorKind::kKeyIssuerGone, "key-issuer-gone"},
      {ErrorKind::kKeyExpired, "key-expired"},
      {ErrorKind::kKeyInFlight, "key-in-flight"},
      {ErrorKind::kKeyAnswerNotKept, "key-answer-not-kept"},
      {ErrorKind::kKeyLedgerFull, "key-ledger-full"},
      {ErrorKind::kTableRefused, "table-refused"},
      {ErrorKind::kSettingsInvalid, "settings-invalid"},
      {ErrorKind::kPlatformUnavailable, "platform-unavailable"},
      {ErrorKind::kMailboxFull, "mailbox-full"},
      {ErrorKind::kMalformedMessage, "malformed-message"},
      {ErrorKind::kSocketFailed, "socket-failed"},
      {ErrorKind::kAddressInUse, "address-in-use"},
      {ErrorKind::kResourceRefused, "resource-refused"},
      {ErrorKind::kChildFailed, "child-failed"},
      {ErrorKind::kInternal, "internal"},
  });
};
static_assert(IsDense<ErrorKind>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_ERROR_KIND_H_
