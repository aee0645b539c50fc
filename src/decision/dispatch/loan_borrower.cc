#include "decision/dispatch/loan_borrower.h"

#include <algorithm>
#include <utility>

#include "decision/dispatch/loan_timing.h"

namespace flamingoyoke {
namespace {

// Maximum number of outstanding slots per work class: at overload every lender
// is busy, and further requests would only add messages.
constexpr std::uint32_t kMaxOutstandingSlots = 8;

auto CountOutcome(TargetOutcomes& outcomes, AttemptResult result) -> void {
  switch (result) {
    case AttemptResult::kAnswered:
      ++outcomes.succeeded;
      break;
    case AttemptResult::kTimeout:
      ++outcomes.timed_out;
      break;
    case AttemptResult::kServerError:
    case AttemptResult::kFalseRefusal:
    case AttemptResult::kConnectFailed:
    case AttemptResult::kReset:
    case AttemptResult::kPartialAnswer:
      ++outcomes.failed;
      break;
    case AttemptResult::kShed:
    case AttemptResult::kNoConnection:
    case AttemptResult::kCancelled:
      break;
  }
}

auto IsEmpty(const TargetOutcomes& outcomes) -> bool {
  return outcomes.succeeded + outcomes.failed + outcomes.timed_out +
             outcomes.slow ==
         0;
}

}  // namespace

auto LoanBorrower::Configure(const ServiceId& service,
                             const std::vector<VmId>& lenders,
                             std::set<TargetId> targets)
    -> std::vector<SendToPeer> {
  service_ = service;
  targets_ = std::move(targets);
  std::map<VmId, Lender> configured;
  for (const auto& vm : lenders) {
    const auto known = lenders_.find(vm);
    configured.emplace(vm, known == lenders_.end() ? Lender() : known->second);
  }
  lenders_ = std::move(configured);
  std::vector<SendToPeer> returns;
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    if (targets_.contains(slot->second.target)) {
      ++slot;
    } else if (slot->second.busy) {
      slot->second.recalled = true;
      ++slot;
    } else {
      returns.push_back(MakeReturn(slot->first, slot->second));
      RecordEndedLoan(slot->first, slot->second.expires_at);
      slot = slots_.erase(slot);
    }
  }
  return returns;
}

auto LoanBorrower::OnLoadReport(const VmId& lender,
                                const LoadReport& report,
                                TimePoint now) -> void {
  const auto entry = lenders_.find(lender);
  if (entry != lenders_.end() &&
      load_reports_.Accept(lender, report.sequence, now)) {
    entry->second.idle_slots = report.idle_slots;
  }
}

auto LoanBorrower::OutstandingSlots(WorkClass work_class,
                                    const VmId& lender,
                                    TimePoint now) const -> std::uint32_t {
  std::uint32_t count = 0;
  for (const auto& [sequence, outstanding] : requests_) {
    if (outstanding.work_class == work_class &&
        now - outstanding.sent_at < kSlotRequestLifetime &&
        (lender.empty() || outstanding.lender == lender)) {
      count += outstanding.wanted;
    }
  }
  return count;
}

auto LoanBorrower::SendRequest(const VmId& lender,
                               WorkClass work_class,
                               std::uint32_t wanted,
                               TimePoint now) -> SendToPeer {
  // A lender keeps only the newest request of each work class.
  for (auto& [sequence, outstanding] : requests_) {
    if (outstanding.lender == lender && outstanding.work_class == work_class) {
      outstanding.wanted = 0;
    }
  }
  const auto sequence = ++last_sequence_;
  requests_.emplace(sequence,
                    OutstandingRequest{lender, work_class, wanted, now});
  return {lender, SlotRequest{service_, sequence, wanted, work_class, {}}};
}

auto LoanBorrower::RequestSlots(WorkClass work_class,
                                std::size_t waiting,
                                Random& random,
                                TimePoint now) -> std::vector<SendToPeer> {
  std::vector<SendToPeer> sends;
  const auto outstanding = OutstandingSlots(work_class, VmId(), now);
  const auto wanted = static_cast<std::uint32_t>(
      std::min<std::size_t>(waiting, kMaxOutstandingSlots));
  if (outstanding >= wanted) {
    return sends;
  }
  auto needed = wanted - outstanding;
  RequestFromIdleLenders(work_class, needed, now, sends);
  if (needed > 0) {
    RequestFromRandomLenders(work_class, needed, random, now, sends);
  }
  return sends;
}

auto LoanBorrower::RequestFromIdleLenders(WorkClass work_class,
                                          std::uint32_t& needed,
                                          TimePoint now,
                                          std::vector<SendToPeer>& sends)
    -> void {
  while (needed > 0) {
    auto best = lenders_.end();
    for (auto entry = lenders_.begin(); entry != lenders_.end(); ++entry) {
      if (entry->second.idle_slots > 0 &&
          (best == lenders_.end() ||
           entry->second.idle_slots > best->second.idle_slots)) {
        best = entry;
      }
    }
    if (best == lenders_.end()) {
      return;
    }
    const auto count = std::min(needed, best->second.idle_slots);
    const auto outstanding = OutstandingSlots(work_class, best->first, now);
    sends.push_back(
        SendRequest(best->first, work_class, outstanding + count, now));
    best->second.idle_slots -= count;
    needed -= count;
  }
}

auto LoanBorrower::RequestFromRandomLenders(WorkClass work_class,
                                            std::uint32_t needed,
                                            Random& random,
                                            TimePoint now,
                                            std::vector<SendToPeer>& sends)
    -> void {
  std::vector<VmId> free_lenders;
  for (const auto& [vm, lender] : lenders_) {
    if (OutstandingSlots(work_class, vm, now) == 0) {
      free_lenders.push_back(vm);
    }
  }
  while (needed > 0 && !free_lenders.empty()) {
    const auto index = random.Below(free_lenders.size());
    sends.push_back(SendRequest(free_lenders[index], work_class, 1, now));
    free_lenders.erase(free_lenders.begin() +
                       static_cast<std::ptrdiff_t>(index));
    --needed;
  }
}

auto LoanBorrower::OnLoan(const VmId& lender,
                          const SlotLoan& loan,
                          TimePoint now) -> std::optional<SendToPeer> {
  const LoanKey key{lender, loan.loan};
  const auto request = requests_.find(loan.sequence);
  const bool is_expected =
      request != requests_.end() && request->second.lender == lender &&
      loan.targets.size() == 1 && targets_.contains(loan.targets.front());
  if (!is_expected || ended_loans_.contains(key)) {
    return MakeRejection(lender, loan);
  }
  const auto expires_at =
      request->second.sent_at + std::min(loan.duration, kLoanDuration);
  if (expires_at <= now) {
    return MakeRejection(lender, loan);
  }
  if (const auto slot = slots_.find(key); slot != slots_.end()) {
    slot->second.expires_at = std::max(slot->second.expires_at, expires_at);
    return std::nullopt;
  }
  auto& outstanding = request->second;
  outstanding.wanted -= outstanding.wanted > 0 ? 1 : 0;
  BorrowedSlot slot{.target = loan.targets.front(),
                    .work_class = outstanding.work_class,
                    .expires_at = expires_at};
  slot.outcomes.target = slot.target;
  slots_.emplace(key, slot);
  return std::nullopt;
}

auto LoanBorrower::MakeRejection(const VmId& lender, const SlotLoan& loan) const
    -> SendToPeer {
  return {lender, SlotReturn{loan.loan, service_, {}, {}}};
}

auto LoanBorrower::OnRecall(const VmId& lender, const SlotRecall& recall)
    -> std::optional<SendToPeer> {
  const LoanKey key{lender, recall.loan};
  const auto slot = slots_.find(key);
  if (slot == slots_.end()) {
    return std::nullopt;
  }
  if (slot->second.busy) {
    slot->second.recalled = true;
    return std::nullopt;
  }
  auto send = MakeReturn(key, slot->second);
  RecordEndedLoan(key, slot->second.expires_at);
  slots_.erase(slot);
  return send;
}

auto LoanBorrower::FindIdleSlot(WorkClass work_class,
                                const TargetId& avoided_target) const
    -> std::optional<LoanKey> {
  std::optional<LoanKey> found;
  for (const auto& [key, slot] : slots_) {
    if (slot.busy || slot.recalled || slot.work_class != work_class) {
      continue;
    }
    if (slot.target != avoided_target) {
      return key;
    }
    found = key;
  }
  return found;
}

auto LoanBorrower::TargetOf(const LoanKey& key) const -> const TargetId& {
  return slots_.at(key).target;
}

auto LoanBorrower::MarkBusy(const LoanKey& key) -> void {
  slots_.at(key).busy = true;
}

auto LoanBorrower::OnAttemptFinished(const LoanKey& key,
                                     const TargetId& target,
                                     AttemptResult result)
    -> std::optional<SendToPeer> {
  const auto slot = slots_.find(key);
  if (slot == slots_.end()) {
    TargetOutcomes outcomes{.target = target};
    CountOutcome(outcomes, result);
    if (IsEmpty(outcomes)) {
      return std::nullopt;
    }
    return SendToPeer{key.lender, OutcomeReport{service_, {outcomes}}};
  }
  CountOutcome(slot->second.outcomes, result);
  slot->second.busy = false;
  if (!slot->second.recalled) {
    return std::nullopt;
  }
  auto send = MakeReturn(key, slot->second);
  RecordEndedLoan(key, slot->second.expires_at);
  slots_.erase(slot);
  return send;
}

auto LoanBorrower::MakeReturn(const LoanKey& key,
                              const BorrowedSlot& slot) const -> SendToPeer {
  // The loan id identifies the slot; omitting the target reduces the message by
  // a third.
  SlotReturn message{key.loan, service_, {}, {}};
  if (!IsEmpty(slot.outcomes)) {
    message.outcomes.push_back(slot.outcomes);
  }
  return {key.lender, std::move(message)};
}

auto LoanBorrower::RecordEndedLoan(const LoanKey& key, TimePoint until)
    -> void {
  ended_loans_[key] = until;
}

auto LoanBorrower::ReturnIdleSlots(WorkClass work_class)
    -> std::vector<SendToPeer> {
  std::vector<SendToPeer> sends;
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    if (slot->second.busy || slot->second.work_class != work_class) {
      ++slot;
      continue;
    }
    sends.push_back(MakeReturn(slot->first, slot->second));
    RecordEndedLoan(slot->first, slot->second.expires_at);
    slot = slots_.erase(slot);
  }
  return sends;
}

auto LoanBorrower::RenewExpiring(TimePoint now) -> std::vector<SendToPeer> {
  std::map<VmId, std::vector<LoanId>> due;
  for (auto& [key, slot] : slots_) {
    const bool renewal_pending =
        slot.renewal_sent_at != TimePoint::min() &&
        now - slot.renewal_sent_at < kRenewalRetryInterval;
    if (slot.busy && slot.expires_at - now <= kRenewalLeadTime &&
        !renewal_pending) {
      slot.renewal_sent_at = now;
      due[key.lender].push_back(key.loan);
    }
  }
  std::vector<SendToPeer> sends;
  for (auto& [lender, loans] : due) {
    const auto sequence = ++last_sequence_;
    requests_.emplace(sequence,
                      OutstandingRequest{lender, WorkClass::kShort, 0, now});
    sends.push_back({lender, SlotRequest{service_, sequence, 0,
                                         WorkClass::kShort, std::move(loans)}});
  }
  return sends;
}

auto LoanBorrower::Expire(TimePoint now) -> std::vector<SendToPeer> {
  while (!requests_.empty() &&
         requests_.begin()->second.sent_at + kLoanDuration <= now) {
    requests_.erase(requests_.begin());
  }
  for (auto& [sequence, outstanding] : requests_) {
    if (now - outstanding.sent_at >= kSlotRequestLifetime) {
      outstanding.wanted = 0;
    }
  }
  for (auto ended = ended_loans_.begin(); ended != ended_loans_.end();) {
    ended = ended->second <= now ? ended_loans_.erase(ended) : std::next(ended);
  }
  std::vector<SendToPeer> sends;
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    if (slot->second.expires_at > now) {
      ++slot;
      continue;
    }
    if (!IsEmpty(slot->second.outcomes)) {
      sends.push_back({slot->first.lender,
                       OutcomeReport{service_, {slot->second.outcomes}}});
    }
    slot = slots_.erase(slot);
  }
  return sends;
}

auto LoanBorrower::OnLenderLost(const VmId& lender) -> void {
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    if (slot->first.lender == lender) {
      RecordEndedLoan(slot->first, slot->second.expires_at);
      slot = slots_.erase(slot);
    } else {
      ++slot;
    }
  }
  for (auto& [sequence, outstanding] : requests_) {
    if (outstanding.lender == lender) {
      outstanding.wanted = 0;
    }
  }
  if (const auto entry = lenders_.find(lender); entry != lenders_.end()) {
    entry->second.idle_slots = 0;
  }
}

auto LoanBorrower::Reset() -> void {
  slots_.clear();
  requests_.clear();
  ended_loans_.clear();
  for (auto& [vm, lender] : lenders_) {
    lender.idle_slots = 0;
  }
}

auto LoanBorrower::NextWake() const -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [key, slot] : slots_) {
    consider(slot.expires_at);
    if (slot.busy) {
      const auto due = slot.expires_at - kRenewalLeadTime;
      const auto again = slot.renewal_sent_at == TimePoint::min()
                             ? due
                             : slot.renewal_sent_at + kRenewalRetryInterval;
      consider(std::max(due, again));
    }
  }
  for (const auto& [sequence, outstanding] : requests_) {
    if (outstanding.wanted > 0) {
      consider(outstanding.sent_at + kSlotRequestLifetime);
    }
  }
  return next;
}

}  // namespace flamingoyoke
