#include "decision/dispatch/loan_lender.h"

#include <algorithm>

#include "decision/dispatch/loan_timing.h"

namespace flamingoyoke {
namespace {

// A sequence number further back than this belongs to a restarted borrower with
// a new random start, not to a reordered message.
constexpr std::uint64_t kReorderWindow = 4096;

// Minimum age of a loan before it is recalled: younger loans are mostly
// returned before the recall arrives.
constexpr Duration kMinRecallAge = std::chrono::milliseconds(50);

// Bound on the peers whose last sequence number is stored, because any VM of
// the fleet may borrow.
constexpr std::size_t kMaxTrackedPeers = 1024;

}  // namespace

auto LoanLender::IsStale(const VmId& borrower, std::uint64_t sequence) const
    -> bool {
  const auto last = last_sequence_.find(borrower);
  return last != last_sequence_.end() && sequence <= last->second &&
         last->second - sequence < kReorderWindow;
}

auto LoanLender::OnRequest(const VmId& borrower,
                           const SlotRequest& request,
                           TimePoint now) -> std::vector<SlotLoan> {
  if (IsStale(borrower, request.sequence)) {
    return {};
  }
  if (last_sequence_.size() >= kMaxTrackedPeers) {
    last_sequence_.clear();
  }
  last_sequence_[borrower] = request.sequence;
  std::vector<SlotLoan> renewals;
  for (const auto id : request.renewed) {
    const auto loan = loans_.find(id);
    if (loan == loans_.end() || loan->second.borrower != borrower ||
        loan->second.non_renewable) {
      continue;
    }
    loan->second.expires_at = now + kLoanDuration;
    renewals.push_back({id,
                        request.service,
                        request.sequence,
                        {loan->second.target},
                        kLoanDuration});
  }
  if (request.renewed.empty() || request.wanted > 0) {
    const auto replaced = [&](const PendingSlotRequest& pending) {
      return pending.borrower == borrower &&
             pending.work_class == request.work_class;
    };
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(), replaced),
                   pending_.end());
  }
  if (request.wanted > 0) {
    pending_.push_back(
        {borrower, request.sequence, request.work_class, request.wanted, now});
  }
  return renewals;
}

auto LoanLender::OldestRequest(WorkClass work_class) const
    -> std::optional<PendingSlotRequest> {
  for (const auto& pending : pending_) {
    if (pending.work_class == work_class) {
      return pending;
    }
  }
  return std::nullopt;
}

auto LoanLender::Grant(const PendingSlotRequest& request,
                       const TargetId& target,
                       const ServiceId& service,
                       TimePoint now) -> SlotLoan {
  const auto pending = std::find_if(
      pending_.begin(), pending_.end(), [&](const PendingSlotRequest& other) {
        return other.borrower == request.borrower &&
               other.sequence == request.sequence &&
               other.work_class == request.work_class;
      });
  if (pending != pending_.end() && --pending->wanted == 0) {
    pending_.erase(pending);
  }
  const LoanId id(++last_loan_);
  loans_.emplace(
      id, GrantedLoan{.loan = id,
                      .borrower = request.borrower,
                      .target = target,
                      .work_class = request.work_class,
                      .granted_at = now,
                      .expires_at = request.received_at + kLoanDuration});
  return {id, service, request.sequence, {target}, kLoanDuration};
}

auto LoanLender::OnReturn(const VmId& borrower, LoanId loan)
    -> std::optional<GrantedLoan> {
  const auto entry = loans_.find(loan);
  if (entry == loans_.end() || entry->second.borrower != borrower) {
    return std::nullopt;
  }
  const auto returned = entry->second;
  loans_.erase(entry);
  return returned;
}

auto LoanLender::Expire(TimePoint now) -> std::vector<GrantedLoan> {
  while (!pending_.empty() &&
         pending_.front().received_at + kSlotRequestLifetime <= now) {
    pending_.pop_front();
  }
  std::vector<GrantedLoan> expired;
  for (auto loan = loans_.begin(); loan != loans_.end();) {
    if (loan->second.expires_at > now) {
      ++loan;
      continue;
    }
    expired.push_back(loan->second);
    loan = loans_.erase(loan);
  }
  return expired;
}

auto LoanLender::Recall(std::size_t count, TimePoint now)
    -> std::vector<GrantedLoan> {
  std::size_t recalled = 0;
  std::vector<GrantedLoan> newly_recalled;
  for (auto& [id, loan] : loans_) {
    if (recalled >= count) {
      break;
    }
    if (now - loan.granted_at < kMinRecallAge) {
      continue;
    }
    ++recalled;
    if (!loan.recalled) {
      loan.recalled = true;
      newly_recalled.push_back(loan);
    }
  }
  return newly_recalled;
}

auto LoanLender::RecallTarget(const TargetId& target)
    -> std::vector<GrantedLoan> {
  std::vector<GrantedLoan> recalled;
  for (auto& [id, loan] : loans_) {
    if (loan.target == target) {
      loan.recalled = true;
      recalled.push_back(loan);
    }
  }
  return recalled;
}

auto LoanLender::IsRecalled(LoanId loan) const -> bool {
  const auto entry = loans_.find(loan);
  return entry != loans_.end() && entry->second.recalled;
}

auto LoanLender::OnPeerLost(const VmId& peer) -> void {
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                [&](const PendingSlotRequest& pending) {
                                  return pending.borrower == peer;
                                }),
                 pending_.end());
  last_sequence_.erase(peer);
  for (auto& [id, loan] : loans_) {
    loan.non_renewable = loan.non_renewable || loan.borrower == peer;
  }
}

auto LoanLender::NextExpiry() const -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  for (const auto& [id, loan] : loans_) {
    if (!next || loan.expires_at < *next) {
      next = loan.expires_at;
    }
  }
  return next;
}

}  // namespace flamingoyoke
