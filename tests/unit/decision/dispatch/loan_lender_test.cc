#include "decision/dispatch/loan_lender.h"

#include <criterion/criterion.h>

#include "decision/dispatch/loan_timing.h"

namespace flamingoyoke {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};
const ServiceId kService("stock");
const TargetId kTarget("10.0.0.1:80");
const VmId kBorrower("b");

auto Request(std::uint64_t sequence, std::uint32_t wanted) -> SlotRequest {
  return {kService, sequence, wanted, WorkClass::kShort, {}};
}

auto Grant(LoanLender& lender, TimePoint now) -> SlotLoan {
  return lender.Grant(*lender.OldestRequest(WorkClass::kShort), kTarget,
                      kService, now);
}

// Guards against two loans for one request that arrives twice or out of order.
Test(loan_lender, repeated_and_older_requests_are_ignored) {
  LoanLender lender(0);
  lender.OnRequest(kBorrower, Request(5, 1), kNow);
  Grant(lender, kNow);
  lender.OnRequest(kBorrower, Request(5, 1), kNow);
  lender.OnRequest(kBorrower, Request(4, 1), kNow);
  cr_assert_not(lender.OldestRequest(WorkClass::kShort).has_value());
}

// Guards against a restarted borrower whose requests are all taken for stale.
Test(loan_lender, requests_of_a_restarted_borrower_are_accepted) {
  LoanLender lender(0);
  lender.OnRequest(kBorrower, Request(1000000, 1), kNow);
  lender.OnRequest(kBorrower, Request(7, 1), kNow);
  cr_assert_eq(lender.OldestRequest(WorkClass::kShort)->sequence, 7);
}

// Guards against a duplicated return, or one from another VM, that releases a
// slot still in use.
Test(loan_lender, a_loan_is_returned_once_and_by_its_borrower) {
  LoanLender lender(0);
  lender.OnRequest(kBorrower, Request(1, 1), kNow);
  const auto loan = Grant(lender, kNow);
  cr_assert_not(lender.OnReturn(VmId("c"), loan.loan).has_value());
  cr_assert(lender.OnReturn(kBorrower, loan.loan).has_value());
  cr_assert_not(lender.OnReturn(kBorrower, loan.loan).has_value());
}

// Guards against a slot that stays lent to a VM that failed.
Test(loan_lender, a_loan_ends_without_renewal) {
  LoanLender lender(0);
  lender.OnRequest(kBorrower, Request(1, 1), kNow);
  Grant(lender, kNow + kSlotRequestLifetime / 2);
  cr_assert(lender.Expire(kNow + kLoanDuration - Duration(1)).empty());
  cr_assert_eq(lender.Expire(kNow + kLoanDuration).size(), 1);
}

// Guards against a loan that expires while a long request uses it.
Test(loan_lender, a_renewal_extends_the_loan) {
  LoanLender lender(0);
  lender.OnRequest(kBorrower, Request(1, 1), kNow);
  const auto loan = Grant(lender, kNow);
  auto renewal = Request(2, 0);
  renewal.renewed = {loan.loan};
  const auto later = kNow + kLoanDuration / 2;
  cr_assert_eq(lender.OnRequest(kBorrower, renewal, later).size(), 1);
  cr_assert(lender.Expire(kNow + kLoanDuration).empty());
  cr_assert_eq(lender.Expire(later + kLoanDuration).size(), 1);
}

// Guards against late renewals that extend a loan to a lost peer.
Test(loan_lender, a_lost_borrower_cannot_renew) {
  LoanLender lender(0);
  lender.OnRequest(kBorrower, Request(1, 1), kNow);
  auto renewal = Request(2, 0);
  renewal.renewed = {Grant(lender, kNow).loan};
  lender.OnPeerLost(kBorrower);
  cr_assert(lender.OnRequest(kBorrower, renewal, kNow).empty());
  cr_assert_eq(lender.Expire(kNow + kLoanDuration).size(), 1);
}

// Guards against borrowers that keep using an unusable target because the
// recall was lost: the lender stores the recall, so that it is repeated at the
// next renewal.
Test(loan_lender, loans_of_an_unusable_target_stay_recalled) {
  LoanLender lender(0);
  lender.OnRequest(kBorrower, Request(1, 1), kNow);
  const auto loan = Grant(lender, kNow);
  cr_assert(lender.RecallTarget(TargetId("10.0.0.2:80")).empty());
  cr_assert_not(lender.IsRecalled(loan.loan));
  cr_assert_eq(lender.RecallTarget(kTarget).size(), 1);
  cr_assert(lender.IsRecalled(loan.loan));
}

// Guards against slots lent for an outdated request.
Test(loan_lender, an_old_request_is_dropped) {
  LoanLender lender(0);
  lender.OnRequest(kBorrower, Request(1, 1), kNow);
  lender.Expire(kNow + kSlotRequestLifetime);
  cr_assert_not(lender.OldestRequest(WorkClass::kShort).has_value());
}

}  // namespace
}  // namespace flamingoyoke
