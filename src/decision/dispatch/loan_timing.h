#ifndef FLAMINGOYOKE_DECISION_DISPATCH_LOAN_TIMING_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_LOAN_TIMING_H_

#include "core/time.h"

namespace flamingoyoke {

// A loan lasts this long from the moment the borrower sent its request. The
// lender counts from the moment it received the request, so the loan ends at
// the borrower first.
inline constexpr Duration kLoanDuration = std::chrono::milliseconds(500);

// A request that finds no idle slot is kept this long by the lender and is
// then repeated by a borrower that still needs a slot.
inline constexpr Duration kSlotRequestLifetime = std::chrono::milliseconds(50);

// A loan in use is renewed when less than this is left.
inline constexpr Duration kRenewalLeadTime = std::chrono::milliseconds(250);

// A renewal that was not answered is repeated after this time.
inline constexpr Duration kRenewalRetryInterval = std::chrono::milliseconds(80);

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_LOAN_TIMING_H_
