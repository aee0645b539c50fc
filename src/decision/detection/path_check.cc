#include "decision/detection/path_check.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {
namespace {

// A third member would be asked only once the answer of the second one is
// overdue too, more than half a second after the start.
constexpr std::size_t kMaxVerifiers = 2;

}  // namespace

PathCheck::PathCheck(std::vector<VmId> verifiers, TimePoint now)
    : verifiers_(std::move(verifiers)), started_(now) {
  if (verifiers_.size() > kMaxVerifiers) {
    verifiers_.resize(kMaxVerifiers);
  }
}

auto PathCheck::AdoptProbe(TimePoint started) -> void {
  local_probe_ = LocalProbe::kRunning;
  probe_started_ = started;
}

auto PathCheck::OnProbe(bool passed) -> void {
  if (local_probe_ != LocalProbe::kPassed) {
    local_probe_ = passed ? LocalProbe::kPassed : LocalProbe::kFailed;
    is_explicit_failure_ = !passed;
  }
}

auto PathCheck::OnVerifyAnswer(const VmId& sender, bool reachable) -> void {
  const auto end =
      verifiers_.begin() + static_cast<std::ptrdiff_t>(asked_count_);
  if (std::find(verifiers_.begin(), end, sender) == end) {
    return;
  }
  if (reachable) {
    reached_by_verifier_ = sender;
  } else {
    is_refuted_by_verifier_ = true;
  }
}

auto PathCheck::Advance(Duration probe_timeout,
                        ProbeBudget& budget,
                        TimePoint now) -> Actions {
  Actions actions;
  if (local_probe_ == LocalProbe::kNotStarted &&
      budget.TryStart(now, &actions.start_probe)) {
    local_probe_ = LocalProbe::kRunning;
    probe_started_ = now;
  }
  if (local_probe_ == LocalProbe::kRunning &&
      now - probe_started_ >= probe_timeout) {
    local_probe_ = LocalProbe::kFailed;
  }
  const bool is_late = local_probe_ == LocalProbe::kFailed ||
                       (local_probe_ == LocalProbe::kRunning &&
                        now - probe_started_ >= kVerificationDelay);
  const bool is_settled =
      is_refuted_by_verifier_ || reached_by_verifier_.has_value();
  if (!is_late || is_settled || has_no_verifier_left_) {
    return actions;
  }
  if (asked_at_ && now < NextAskAt(probe_timeout)) {
    return actions;
  }
  if (asked_count_ >= verifiers_.size()) {
    has_no_verifier_left_ = true;
    return actions;
  }
  actions.ask_verifier = verifiers_[asked_count_];
  ++asked_count_;
  asked_at_ = now;
  return actions;
}

auto PathCheck::Verdict() const -> PathVerdict {
  if (local_probe_ == LocalProbe::kPassed) {
    return PathVerdict::kPathWorks;
  }
  if (local_probe_ != LocalProbe::kFailed) {
    return PathVerdict::kPending;
  }
  if (reached_by_verifier_) {
    return PathVerdict::kUnreachableHere;
  }
  if (is_refuted_by_verifier_) {
    return PathVerdict::kTargetDown;
  }
  return has_no_verifier_left_ ? PathVerdict::kUnverified
                               : PathVerdict::kPending;
}

auto PathCheck::NextWake(Duration probe_timeout,
                         const ProbeBudget& budget) const
    -> std::optional<TimePoint> {
  if (Verdict() != PathVerdict::kPending) {
    return std::nullopt;
  }
  std::optional<TimePoint> wake;
  const auto since =
      local_probe_ == LocalProbe::kRunning ? probe_started_ : started_;
  if (local_probe_ == LocalProbe::kRunning ||
      local_probe_ == LocalProbe::kNotStarted) {
    wake = since + probe_timeout;
    if (!asked_at_) {
      wake = std::min(*wake, since + kVerificationDelay);
    }
  }
  if (local_probe_ == LocalProbe::kNotStarted) {
    wake = std::min(*wake, budget.NextStartAt());
  }
  if (asked_at_ && !is_refuted_by_verifier_ && !reached_by_verifier_) {
    const auto next = NextAskAt(probe_timeout);
    wake = wake ? std::min(*wake, next) : next;
  }
  return wake;
}

auto PathCheck::NextAskAt(Duration probe_timeout) const -> TimePoint {
  const auto answer_due = *asked_at_ + probe_timeout + kVerificationOverhead;
  const bool is_last = asked_count_ >= verifiers_.size();
  return is_last ? answer_due
                 : std::max(answer_due, probe_started_ + kSecondVerifierDelay);
}

}  // namespace flamingoyoke
