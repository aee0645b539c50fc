#ifndef FLAMINGOYOKE_DECISION_DISPATCH_LOAN_TIMING_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_LOAN_TIMING_H_

#include "core/time.h"

namespace flamingoyoke {

// Duration of a loan. The borrower counts from when it sent the request and the
// lender from when it received it, so the loan expires at the borrower first.
inline constexpr Duration kLoanDuration = std::chrono::milliseconds(500);

// How long the lender keeps a request that it cannot grant. A borrower that
// still needs a slot repeats the request afterwards.
inline constexpr Duration kSlotRequestLifetime = std::chrono::milliseconds(50);

// A loan in use is renewed when its remaining time is at most this long.
inline constexpr Duration kRenewalLeadTime = std::chrono::milliseconds(250);

// Interval after which an unanswered renewal is repeated.
inline constexpr Duration kRenewalRetryInterval = std::chrono::milliseconds(80);

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_LOAN_TIMING_H_
