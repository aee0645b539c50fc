#ifndef FLAMINGOYOKE_DECISION_DISPATCH_LOAN_BORROWER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_LOAN_BORROWER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/dispatch/loan_key.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// One slot that a peer lent to this node.
struct BorrowedSlot {
  TargetId target{};
  WorkClass work_class = WorkClass::kShort;
  TimePoint expires_at{};
  bool busy = false;
  bool recalled = false;
  // When the last renewal was asked for.
  TimePoint renewal_sent_at = TimePoint::min();
  TargetOutcomes outcomes{};
};

// The borrower's side of slot loans: whom to ask, the slots that are lent to
// this node, and the outcomes that go back to the owner. Repeated, late and
// reordered messages are harmless: a loan counts from the moment its request
// was sent, and an ended loan is not believed again. Not thread-safe.
class LoanBorrower {
 public:
  // `first_sequence` should be random, so that a lender can tell a restarted
  // borrower from a reordered message.
  explicit LoanBorrower(std::uint64_t first_sequence)
      : last_sequence_(first_sequence) {}

  // Sets the service and the home set members that may lend. What is known
  // of members that stay is kept.
  auto Configure(const ServiceId& service, const std::vector<VmId>& lenders)
      -> void;

  // Notes what a lender has to spare.
  auto OnLoadReport(const VmId& lender, const LoadReport& report) -> void;

  // Asks for slots for `waiting` requests of `work_class`, less what was
  // asked for before. Requests are not withdrawn when nothing waits any more:
  // that costs more messages than the loans that come too late.
  auto RequestSlots(WorkClass work_class,
                    std::size_t waiting,
                    Random& random,
                    TimePoint now) -> std::vector<SendToPeer>;

  // Takes a loan or its renewal. Returns the return to send if the loan can't
  // be used.
  auto OnLoan(const VmId& lender, const SlotLoan& loan, TimePoint now)
      -> std::optional<SendToPeer>;

  // Returns the loan at once if it is idle, otherwise when its attempt ends.
  auto OnRecall(const VmId& lender, const SlotRecall& recall)
      -> std::optional<SendToPeer>;

  // Returns an idle slot for `work_class`, on another target than `avoid` if
  // there is one.
  [[nodiscard]] auto FindIdleSlot(WorkClass work_class,
                                  const TargetId& avoided_target) const
      -> std::optional<LoanKey>;

  // Target of a loan in force. `key` must come from FindIdle.
  [[nodiscard]] auto TargetOf(const LoanKey& key) const -> const TargetId&;

  // Marks a slot as used by an attempt. `key` must come from FindIdle.
  auto MarkBusy(const LoanKey& key) -> void;

  // Notes the end of an attempt on a borrowed slot. Returns what must be sent
  // if the loan has ended meanwhile.
  auto OnAttemptFinished(const LoanKey& key,
                         const TargetId& target,
                         AttemptResult result) -> std::optional<SendToPeer>;

  // Returns the idle slots of `work_class`.
  auto ReturnIdleSlots(WorkClass work_class) -> std::vector<SendToPeer>;

  // Asks for more time for slots in use that expire soon.
  auto RenewExpiring(TimePoint now) -> std::vector<SendToPeer>;

  // Ends loans whose time is over.
  auto Expire(TimePoint now) -> std::vector<SendToPeer>;

  // Ends the loans of a lost lender.
  auto OnLenderLost(const VmId& lender) -> void;

  // Ends all loans and forgets all reports, after a pause of the process.
  auto Reset() -> void;

  // When Renew, Expire or Ask has something to do next.
  [[nodiscard]] auto NextWake() const -> std::optional<TimePoint>;

  [[nodiscard]] auto slots() const -> const std::map<LoanKey, BorrowedSlot>& {
    return slots_;
  }
  [[nodiscard]] auto HasLenders() const -> bool { return !lenders_.empty(); }

 private:
  struct Lender {
    // Idle slots as reported, less those asked for since.
    std::uint32_t idle_slots = 0;
  };
  struct OutstandingRequest {
    VmId lender{};
    WorkClass work_class = WorkClass::kShort;
    std::uint32_t wanted = 0;
    TimePoint sent_at{};
  };

  // Slots asked for and not yet lent; of one lender if it is not empty.
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
  auto MakeRefusal(const VmId& lender, const SlotLoan& loan) const
      -> SendToPeer;
  auto MakeReturn(const LoanKey& key, const BorrowedSlot& slot) const
      -> SendToPeer;
  // Remembers an ended loan, so that a late copy of it is not believed.
  auto RecordEndedLoan(const LoanKey& key, TimePoint until) -> void;

  ServiceId service_;
  std::map<VmId, Lender> lenders_;
  std::uint64_t last_sequence_;
  // By sequence, kept for the duration of a loan.
  std::map<std::uint64_t, OutstandingRequest> requests_;
  std::map<LoanKey, BorrowedSlot> slots_;
  std::map<LoanKey, TimePoint> ended_loans_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_LOAN_BORROWER_H_
