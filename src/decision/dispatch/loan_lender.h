#ifndef FLAMINGOYOKE_DECISION_DISPATCH_LOAN_LENDER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_LOAN_LENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// One slot that is lent to a peer.
struct GrantedLoan {
  LoanId loan{};
  VmId borrower{};
  TargetId target{};
  WorkClass work_class = WorkClass::kShort;
  TimePoint granted_at{};
  TimePoint expires_at{};
  bool recalled = false;
  // Set once the borrower was lost: the loan runs out and is not renewed.
  bool non_renewable = false;
};

// A peer's request for slots that is not yet granted.
struct PendingSlotRequest {
  VmId borrower{};
  std::uint64_t sequence = 0;
  WorkClass work_class = WorkClass::kShort;
  std::uint32_t wanted = 0;
  TimePoint received_at{};
};

// The lender's side of slot loans: the loans in force and the requests that
// wait for an idle slot. Each loan is one slot, so that a repeated return
// cannot free more than was lent. Repeated, late and reordered messages are
// ignored. It doesn't decide which slot is lent. Not thread-safe.
class LoanLender {
 public:
  // `first_loan` should be random, so that a message about a loan of an
  // earlier process names no loan of this one.
  explicit LoanLender(std::uint64_t first_loan) : last_loan_(first_loan) {}

  // Notes a peer's request; it replaces the peer's earlier one of the same
  // class. Returns the answers to the renewals it contains.
  auto OnRequest(const VmId& borrower,
                 const SlotRequest& request,
                 TimePoint now) -> std::vector<SlotLoan>;

  // Returns the oldest waiting request of `work_class`.
  [[nodiscard]] auto OldestRequest(WorkClass work_class) const
      -> std::optional<PendingSlotRequest>;

  // Lends a slot of `target` in answer to `request`, which NextRequest
  // returned.
  auto Grant(const PendingSlotRequest& request,
             const TargetId& target,
             const ServiceId& service,
             TimePoint now) -> SlotLoan;

  // Ends a loan that the borrower returned. Returns nothing for a loan that
  // is not in force or is lent to another peer.
  auto OnReturn(const VmId& borrower, LoanId loan)
      -> std::optional<GrantedLoan>;

  // Ends and returns the loans that expired; drops requests that are too old.
  auto Expire(TimePoint now) -> std::vector<GrantedLoan>;

  // Marks up to `count` loans as recalled and returns them.
  auto Recall(std::size_t count, TimePoint now) -> std::vector<GrantedLoan>;

  // Marks all loans of `target` as recalled and returns them, whatever their
  // age: the target must get no new work.
  auto RecallTarget(const TargetId& target) -> std::vector<GrantedLoan>;

  // Returns whether the loan is in force and was recalled. A recall may be
  // lost, so it is repeated when the borrower asks for more time.
  [[nodiscard]] auto IsRecalled(LoanId loan) const -> bool;

  // Drops the requests of a lost peer. Its loans are no longer renewed and run
  // out, since the peer may be alive and use them.
  auto OnPeerLost(const VmId& peer) -> void;

  // When Expire has something to do next.
  [[nodiscard]] auto NextExpiry() const -> std::optional<TimePoint>;

  [[nodiscard]] auto loans() const -> const std::map<LoanId, GrantedLoan>& {
    return loans_;
  }

 private:
  [[nodiscard]] auto IsStale(const VmId& borrower, std::uint64_t sequence) const
      -> bool;

  std::uint64_t last_loan_;
  std::map<LoanId, GrantedLoan> loans_;
  std::deque<PendingSlotRequest> pending_;
  std::map<VmId, std::uint64_t> last_sequence_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_LOAN_LENDER_H_
