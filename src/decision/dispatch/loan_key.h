#ifndef FLAMINGOYOKE_DECISION_DISPATCH_LOAN_KEY_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_LOAN_KEY_H_

#include <tuple>

#include "core/ids.h"

namespace flamingoyoke {

// Identifies a loan across the fleet, because loan ids are unique only within a
// lender.
struct LoanKey {
  VmId lender{};
  LoanId loan{};

  auto operator<(const LoanKey& other) const -> bool {
    return std::tie(lender, loan) < std::tie(other.lender, other.loan);
  }
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_LOAN_KEY_H_
