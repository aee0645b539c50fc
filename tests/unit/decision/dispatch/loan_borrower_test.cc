#include "decision/dispatch/loan_borrower.h"

#include <criterion/criterion.h>

#include <variant>

#include "decision/dispatch/loan_timing.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(50)};
const ServiceId kService("stock");
const TargetId kTarget("10.0.0.1:80");
const VmId kLender("b");

class Fixture {
 public:
  Fixture() { borrower_.Configure(kService, {kLender}, {kTarget}); }

  // Requests one slot and returns the message that was sent.
  auto RequestSlots() -> SlotRequest {
    const auto sends =
        borrower_.RequestSlots(WorkClass::kShort, 1, random_, kNow);
    cr_assert_eq(sends.size(), 1);
    return std::get<SlotRequest>(sends.front().message);
  }

  static auto LoanFor(const SlotRequest& request) -> SlotLoan {
    return {LoanId(9), kService, request.sequence, {kTarget}, kLoanDuration};
  }

  // Borrows one slot, starts an attempt on it, and returns its key.
  auto BorrowBusySlot() -> LoanKey {
    borrower_.OnLoan(kLender, LoanFor(RequestSlots()), kNow);
    auto key = *borrower_.FindIdleSlot(WorkClass::kShort, TargetId());
    borrower_.MarkBusy(key);
    return key;
  }

  Random random_{1};
  LoanBorrower borrower_{100};
};

// Guards against one slot request per event while an earlier one is
// outstanding.
Test(loan_borrower, does_not_request_outstanding_slots_again) {
  Fixture fixture;
  fixture.RequestSlots();
  cr_assert(fixture.borrower_
                .RequestSlots(WorkClass::kShort, 1, fixture.random_, kNow)
                .empty());
}

// Guards against a delayed report of a lender that hides its idle slots: a slot
// is then asked of each lender, one at a time, instead of an idle one.
Test(loan_borrower, a_delayed_load_report_changes_nothing) {
  Fixture fixture;
  const auto report = [&](std::uint32_t idle_slots, std::uint64_t sequence) {
    LoadReport load;
    load.service = kService;
    load.idle_slots = idle_slots;
    load.sequence = sequence;
    fixture.borrower_.OnLoadReport(kLender, load, kNow);
  };
  report(3, 8);
  report(0, 7);
  const auto sends = fixture.borrower_.RequestSlots(WorkClass::kShort, 3,
                                                    fixture.random_, kNow);
  cr_assert_eq(sends.size(), 1);
  cr_assert_eq(std::get<SlotRequest>(sends.front().message).wanted, 3U);
}

// Guards against a loan that the borrower uses after it expired at the lender:
// its duration counts from when the request was sent, however late the loan
// arrives.
Test(loan_borrower, a_loan_counts_from_its_request) {
  Fixture fixture;
  const auto loan = Fixture::LoanFor(fixture.RequestSlots());
  cr_assert_not(
      fixture.borrower_.OnLoan(kLender, loan, kNow + milliseconds(400)));
  fixture.borrower_.Expire(kNow + kLoanDuration - Duration(1));
  cr_assert_eq(fixture.borrower_.slots().size(), 1);
  fixture.borrower_.Expire(kNow + kLoanDuration);
  cr_assert(fixture.borrower_.slots().empty());
}

// Guards against the use of a loan that arrives after its expiry.
Test(loan_borrower, an_expired_loan_is_rejected) {
  Fixture fixture;
  const auto loan = Fixture::LoanFor(fixture.RequestSlots());
  cr_assert(fixture.borrower_.OnLoan(kLender, loan, kNow + kLoanDuration));
  cr_assert(fixture.borrower_.slots().empty());
}

// Guards against an attempt on a target that the table no longer has: in
// table_in_force::replaced_under_load a lookup got 502 connect-failed.
Test(loan_borrower, no_slot_of_a_target_that_left_the_table_is_used) {
  Fixture fixture;
  const auto request = fixture.RequestSlots();
  cr_assert_not(
      fixture.borrower_.OnLoan(kLender, Fixture::LoanFor(request), kNow));
  const auto returns = fixture.borrower_.Configure(kService, {kLender},
                                                   {TargetId("10.0.0.2:80")});
  cr_assert_eq(returns.size(), 1U);
  cr_assert(fixture.borrower_.slots().empty());
  // A lender with the older table still lends slots of the target.
  auto late = Fixture::LoanFor(request);
  late.loan = LoanId(10);
  cr_assert(fixture.borrower_.OnLoan(kLender, late, kNow));
  cr_assert(fixture.borrower_.slots().empty());
}

// Guards against the use of a returned slot because a duplicate of its loan
// arrives.
Test(loan_borrower, a_duplicate_of_a_returned_loan_is_rejected) {
  Fixture fixture;
  const auto loan = Fixture::LoanFor(fixture.RequestSlots());
  fixture.borrower_.OnLoan(kLender, loan, kNow);
  cr_assert_eq(fixture.borrower_.ReturnIdleSlots(WorkClass::kShort).size(), 1);
  cr_assert(fixture.borrower_.OnLoan(kLender, loan, kNow));
  cr_assert(fixture.borrower_.slots().empty());
}

// Guards against a loan from a VM that was not asked for one.
Test(loan_borrower, a_loan_from_a_vm_that_was_not_asked_is_rejected) {
  Fixture fixture;
  const auto loan = Fixture::LoanFor(fixture.RequestSlots());
  cr_assert(fixture.borrower_.OnLoan(VmId("c"), loan, kNow));
  cr_assert(fixture.borrower_.slots().empty());
}

// Guards against attempt outcomes that don't reach the owner, whose failure
// detector depends on them.
Test(loan_borrower, outcomes_go_back_with_the_loan) {
  Fixture fixture;
  const auto key = fixture.BorrowBusySlot();
  fixture.borrower_.OnAttemptFinished(key, kTarget, AttemptResult::kTimeout);
  const auto sends = fixture.borrower_.ReturnIdleSlots(WorkClass::kShort);
  const auto& returned = std::get<SlotReturn>(sends.at(0).message);
  cr_assert_eq(returned.outcomes.at(0).timed_out, 1);
}

// Guards against the loss of an outcome when the loan ends before the attempt.
Test(loan_borrower, an_outcome_after_the_loan_is_reported_by_itself) {
  Fixture fixture;
  const auto key = fixture.BorrowBusySlot();
  fixture.borrower_.Expire(kNow + kLoanDuration);
  const auto send = fixture.borrower_.OnAttemptFinished(
      key, kTarget, AttemptResult::kServerError);
  cr_assert(std::holds_alternative<OutcomeReport>(send->message));
}

// Guards against a recall that ends a loan while its slot is in use.
Test(loan_borrower, a_recalled_loan_is_returned_after_its_attempt) {
  Fixture fixture;
  const auto key = fixture.BorrowBusySlot();
  cr_assert_not(fixture.borrower_.OnRecall(kLender, {LoanId(9), kService}));
  const auto send = fixture.borrower_.OnAttemptFinished(
      key, kTarget, AttemptResult::kAnswered);
  cr_assert(std::holds_alternative<SlotReturn>(send->message));
}

}  // namespace
}  // namespace flamingoyoke
