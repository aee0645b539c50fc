#ifndef FLAMINGOYOKE_DECISION_DISPATCH_LOAN_BORROWER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_LOAN_BORROWER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/dispatch/loan_key.h"
#include "decision/peer/peer_message.h"
#include "decision/peer/report_order.h"

namespace flamingoyoke {

// Slot that a peer lent to this node.
struct BorrowedSlot {
  TargetId target{};
  WorkClass work_class = WorkClass::kShort;
  TimePoint expires_at{};
  bool busy = false;
  bool recalled = false;
  // When the last renewal was requested.
  TimePoint renewal_sent_at = TimePoint::min();
  TargetOutcomes outcomes{};
};

// Borrower side of slot loans: selects the lenders to ask, holds the slots lent
// to this node and collects the attempt outcomes to report to the target's
// owner. Duplicated, late and reordered messages are safe: a loan's duration
// counts from when its request was sent, and a loan that has ended is not
// accepted again. Not thread-safe.
class LoanBorrower {
 public:
  // `first_sequence` should be random, so that a lender can distinguish a
  // restarted borrower from a reordered message.
  explicit LoanBorrower(std::uint64_t first_sequence)
      : last_sequence_(first_sequence) {}

  // Sets the service, the members of the home set that may lend slots, and the
  // targets that this node can connect to. State of members that stay is kept.
  // Returns the slots of targets that the service no longer has; busy ones are
  // returned when their attempt ends.
  auto Configure(const ServiceId& service,
                 const std::vector<VmId>& lenders,
                 std::set<TargetId> targets) -> std::vector<SendToPeer>;

  // Records the number of idle slots of a lender, unless a newer report of it
  // arrived before.
  auto OnLoadReport(const VmId& lender, const LoadReport& report, TimePoint now)
      -> void;

  // Requests slots for `waiting` requests of `work_class`, minus those that are
  // still outstanding. Outstanding slot requests are not withdrawn when no
  // request waits any more, because that costs more messages than returning
  // unneeded loans.
  auto RequestSlots(WorkClass work_class,
                    std::size_t waiting,
                    Random& random,
                    TimePoint now) -> std::vector<SendToPeer>;

  // Accepts a loan or its renewal. Returns the SlotReturn to send if the loan
  // can't be used, for example because its lender has another table and lends a
  // slot of a target that this node doesn't know.
  auto OnLoan(const VmId& lender, const SlotLoan& loan, TimePoint now)
      -> std::optional<SendToPeer>;

  // Returns the loan immediately if its slot is idle, otherwise when its
  // attempt ends.
  auto OnRecall(const VmId& lender, const SlotRecall& recall)
      -> std::optional<SendToPeer>;

  // Returns an idle slot for `work_class`, preferably not on `avoided_target`.
  [[nodiscard]] auto FindIdleSlot(WorkClass work_class,
                                  const TargetId& avoided_target) const
      -> std::optional<LoanKey>;

  // Returns the target of an active loan. `key` must come from FindIdleSlot.
  [[nodiscard]] auto TargetOf(const LoanKey& key) const -> const TargetId&;

  // Marks a slot as used by an attempt. `key` must come from FindIdleSlot.
  auto MarkBusy(const LoanKey& key) -> void;

  // Records the result of an attempt on a borrowed slot. Returns the message to
  // send if the loan was recalled or ended meanwhile.
  auto OnAttemptFinished(const LoanKey& key,
                         const TargetId& target,
                         AttemptResult result) -> std::optional<SendToPeer>;

  // Returns the idle slots of `work_class`.
  auto ReturnIdleSlots(WorkClass work_class) -> std::vector<SendToPeer>;

  // Requests the renewal of busy slots that expire soon.
  auto RenewExpiring(TimePoint now) -> std::vector<SendToPeer>;

  // Ends loans that have expired. Returns their outcome reports.
  auto Expire(TimePoint now) -> std::vector<SendToPeer>;

  // Ends the loans of a lost lender.
  auto OnLenderLost(const VmId& lender) -> void;

  // Drops all loans, slot requests and load reports after a pause of the
  // process.
  auto Reset() -> void;

  // Returns when RenewExpiring, Expire or RequestSlots has to be called next,
  // if ever.
  [[nodiscard]] auto NextWake() const -> std::optional<TimePoint>;

  [[nodiscard]] auto slots() const -> const std::map<LoanKey, BorrowedSlot>& {
    return slots_;
  }
  [[nodiscard]] auto HasLenders() const -> bool { return !lenders_.empty(); }

 private:
  struct Lender {
    // Idle slots as last reported, minus those requested since.
    std::uint32_t idle_slots = 0;
  };
  struct OutstandingRequest {
    VmId lender{};
    WorkClass work_class = WorkClass::kShort;
    std::uint32_t wanted = 0;
    TimePoint sent_at{};
  };

  // Returns the number of slots requested but not yet lent, by `lender` only
  // unless it is empty.
  [[nodiscard]] auto OutstandingSlots(WorkClass work_class,
                                      const VmId& lender,
                                      TimePoint now) const -> std::uint32_t;
  auto SendRequest(const VmId& lender,
                   WorkClass work_class,
                   std::uint32_t wanted,
                   TimePoint now) -> SendToPeer;
  auto RequestFromIdleLenders(WorkClass work_class,
                              std::uint32_t& needed,
                              TimePoint now,
                              std::vector<SendToPeer>& sends) -> void;
  auto RequestFromRandomLenders(WorkClass work_class,
                                std::uint32_t needed,
                                Random& random,
                                TimePoint now,
                                std::vector<SendToPeer>& sends) -> void;
  auto MakeRejection(const VmId& lender, const SlotLoan& loan) const
      -> SendToPeer;
  auto MakeReturn(const LoanKey& key, const BorrowedSlot& slot) const
      -> SendToPeer;
  // Records an ended loan until its expiry, so that a late duplicate is not
  // accepted.
  auto RecordEndedLoan(const LoanKey& key, TimePoint until) -> void;

  ServiceId service_;
  std::map<VmId, Lender> lenders_;
  ReportOrder load_reports_;
  std::set<TargetId> targets_;
  std::uint64_t last_sequence_;
  // By sequence number; kept for kLoanDuration.
  std::map<std::uint64_t, OutstandingRequest> requests_;
  std::map<LoanKey, BorrowedSlot> slots_;
  std::map<LoanKey, TimePoint> ended_loans_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_LOAN_BORROWER_H_
