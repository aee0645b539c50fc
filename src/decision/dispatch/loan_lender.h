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

// Slot that is lent to a peer.
struct GrantedLoan {
  LoanId loan{};
  VmId borrower{};
  TargetId target{};
  WorkClass work_class = WorkClass::kShort;
  TimePoint granted_at{};
  TimePoint expires_at{};
  bool recalled = false;
  // Set when the borrower is lost: the loan is not renewed and expires.
  bool non_renewable = false;
};

// Slot request of a peer that is not fully granted.
struct PendingSlotRequest {
  VmId borrower{};
  std::uint64_t sequence = 0;
  WorkClass work_class = WorkClass::kShort;
  std::uint32_t wanted = 0;
  TimePoint received_at{};
};

// Lender side of slot loans: holds the active loans and the slot requests that
// wait for an idle slot. Each loan covers one slot, so that a duplicated return
// cannot release more than was lent. Duplicated, late and reordered messages
// are ignored. The caller chooses the slot to lend. Not thread-safe.
class LoanLender {
 public:
  // `first_loan` should be random, so that a message about a loan of a previous
  // process doesn't match a loan of this one.
  explicit LoanLender(std::uint64_t first_loan) : last_loan_(first_loan) {}

  // Adds a peer's request; it replaces the peer's earlier one of the same work
  // class. Returns the replies to the renewals it contains.
  auto OnRequest(const VmId& borrower,
                 const SlotRequest& request,
                 TimePoint now) -> std::vector<SlotLoan>;

  // Returns the oldest pending request of `work_class`, if any.
  [[nodiscard]] auto OldestRequest(WorkClass work_class) const
      -> std::optional<PendingSlotRequest>;

  // Lends a slot of `target` for `request`, which must come from OldestRequest.
  auto Grant(const PendingSlotRequest& request,
             const TargetId& target,
             const ServiceId& service,
             TimePoint now) -> SlotLoan;

  // Ends a loan that the borrower returned. Returns nothing if the loan is not
  // active or belongs to another peer.
  auto OnReturn(const VmId& borrower, LoanId loan)
      -> std::optional<GrantedLoan>;

  // Ends and returns the expired loans; drops requests older than
  // kSlotRequestLifetime.
  auto Expire(TimePoint now) -> std::vector<GrantedLoan>;

  // Recalls loans of at least kMinRecallAge until `count` are recalled, and
  // returns those that were not recalled before.
  auto Recall(std::size_t count, TimePoint now) -> std::vector<GrantedLoan>;

  // Recalls all loans of `target` regardless of their age and returns them,
  // because the target must get no new requests.
  auto RecallTarget(const TargetId& target) -> std::vector<GrantedLoan>;

  // Returns whether the loan is active and was recalled. A recall message may
  // be lost, so it is repeated when the borrower requests a renewal.
  [[nodiscard]] auto IsRecalled(LoanId loan) const -> bool;

  // Drops the requests of a lost peer. Its loans are kept until they expire but
  // not renewed, because the peer may be alive and still use them.
  auto OnPeerLost(const VmId& peer) -> void;

  // Returns the expiry time of the loan that ends next, if any.
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
