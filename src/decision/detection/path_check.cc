#include "decision/detection/path_check.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {
namespace {

// A third member would be asked after more than half a second, when the
// answer of a second one is overdue as well.
constexpr std::size_t kMostVerifiers = 2;

}  // namespace

PathCheck::PathCheck(std::vector<VmId> verifiers, TimePoint now)
    : verifiers_(std::move(verifiers)), started_(now) {
  if (verifiers_.size() > kMostVerifiers) {
    verifiers_.resize(kMostVerifiers);
  }
}

auto PathCheck::AdoptProbe(TimePoint started) -> void {
  own_ = OwnProbe::kRunning;
  probe_started_ = started;
}

auto PathCheck::OnProbe(bool passed) -> void {
  if (own_ != OwnProbe::kPassed) {
    own_ = passed ? OwnProbe::kPassed : OwnProbe::kFailed;
    is_explicit_ = !passed;
  }
}

auto PathCheck::OnVerifyAnswer(const VmId& sender, bool reachable) -> void {
  const auto end = verifiers_.begin() + static_cast<std::ptrdiff_t>(asked_);
  if (std::find(verifiers_.begin(), end, sender) == end) {
    return;
  }
  if (reachable) {
    reached_by_ = sender;
  } else {
    is_refuted_ = true;
  }
}

auto PathCheck::Advance(Duration probe_time, ProbeBudget& budget, TimePoint now)
    -> Orders {
  Orders orders;
  if (own_ == OwnProbe::kWaiting && budget.TryStart(now, &orders.start_probe)) {
    own_ = OwnProbe::kRunning;
    probe_started_ = now;
  }
  if (own_ == OwnProbe::kRunning && now - probe_started_ >= probe_time) {
    own_ = OwnProbe::kFailed;
  }
  const bool is_late =
      own_ == OwnProbe::kFailed ||
      (own_ == OwnProbe::kRunning && now - probe_started_ >= kVerifyAfter);
  const bool is_settled = is_refuted_ || reached_by_.has_value();
  if (!is_late || is_settled || is_exhausted_) {
    return orders;
  }
  if (asked_at_ && now < NextAskAt(probe_time)) {
    return orders;
  }
  if (asked_ >= verifiers_.size()) {
    is_exhausted_ = true;
    return orders;
  }
  orders.ask = verifiers_[asked_];
  ++asked_;
  asked_at_ = now;
  return orders;
}

auto PathCheck::Verdict() const -> PathVerdict {
  if (own_ == OwnProbe::kPassed) {
    return PathVerdict::kPathWorks;
  }
  if (own_ != OwnProbe::kFailed) {
    return PathVerdict::kPending;
  }
  if (reached_by_) {
    return PathVerdict::kUnreachableHere;
  }
  if (is_refuted_) {
    return PathVerdict::kTargetDown;
  }
  return is_exhausted_ ? PathVerdict::kUnverified : PathVerdict::kPending;
}

auto PathCheck::NextWake(Duration probe_time, const ProbeBudget& budget) const
    -> std::optional<TimePoint> {
  if (Verdict() != PathVerdict::kPending) {
    return std::nullopt;
  }
  std::optional<TimePoint> wake;
  const auto since = own_ == OwnProbe::kRunning ? probe_started_ : started_;
  if (own_ == OwnProbe::kRunning || own_ == OwnProbe::kWaiting) {
    wake = since + probe_time;
    if (!asked_at_) {
      wake = std::min(*wake, since + kVerifyAfter);
    }
  }
  if (own_ == OwnProbe::kWaiting) {
    wake = std::min(*wake, budget.NextAt());
  }
  if (asked_at_ && !is_refuted_ && !reached_by_) {
    const auto next = NextAskAt(probe_time);
    wake = wake ? std::min(*wake, next) : next;
  }
  return wake;
}

auto PathCheck::NextAskAt(Duration probe_time) const -> TimePoint {
  const auto answer_due = *asked_at_ + probe_time + kVerifyOverhead;
  const bool is_last = asked_ >= verifiers_.size();
  return is_last ? answer_due
                 : std::max(answer_due, probe_started_ + kProbeWindow);
}

}  // namespace flamingoyoke
