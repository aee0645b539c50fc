#include "decision/detection/target_verifier.h"

#include <algorithm>

namespace flamingoyoke {

auto TargetVerifier::OnRequest(const VmId& requester,
                               const TargetId& target,
                               TimePoint now) -> void {
  auto& entry = verifications_[target];
  if (entry.requesters.size() >= kMaxRequesters) {
    return;
  }
  entry.requesters.insert(requester);
  entry.requested_at = now;
  if (entry.result && now - entry.result_at >= kResultLifetime) {
    entry.result.reset();
  }
}

auto TargetVerifier::OnProbe(const TargetId& target, bool passed, TimePoint now)
    -> void {
  const auto found = verifications_.find(target);
  if (found == verifications_.end()) {
    return;
  }
  auto& entry = found->second;
  if (passed) {
    entry.requesters.insert(entry.answered_unreachable.begin(),
                            entry.answered_unreachable.end());
  }
  entry.answered_unreachable.clear();
  entry.probe_started.reset();
  entry.result = passed;
  entry.result_at = now;
}

auto TargetVerifier::TryProbe(const TargetId& target,
                              ProbeBudget& budget,
                              TimePoint now) -> bool {
  auto& entry = verifications_[target];
  if (entry.result || entry.probe_started || entry.requesters.empty()) {
    return false;
  }
  if (now - entry.requested_at >= kRequestTimeout) {
    entry.requesters.clear();
    return false;
  }
  bool is_new = false;
  if (budget.TryStart(now, &is_new)) {
    entry.probe_started = now;
  }
  return is_new;
}

auto TargetVerifier::TakeAnswers(Duration probe_timeout, TimePoint now)
    -> std::vector<VerificationAnswer> {
  std::vector<VerificationAnswer> answers;
  for (auto& [target, entry] : verifications_) {
    if (entry.probe_started && !entry.result &&
        now - *entry.probe_started >= probe_timeout) {
      entry.result = false;
      entry.result_at = now;
      entry.answered_unreachable = entry.requesters;
      entry.probe_started.reset();
    }
    if (!entry.result) {
      continue;
    }
    for (const auto& requester : entry.requesters) {
      answers.push_back({requester, target, *entry.result});
      if (*entry.result) {
        entry.confirmed_at[requester] = now;
      }
    }
    entry.requesters.clear();
    std::erase_if(entry.confirmed_at, [&](const auto& confirmation) {
      return now - confirmation.second >= kConfirmationLifetime;
    });
  }
  std::erase_if(verifications_, [&](const auto& item) {
    const auto& entry = item.second;
    return entry.requesters.empty() && entry.confirmed_at.empty() &&
           entry.result && now - entry.result_at >= kConfirmationLifetime;
  });
  return answers;
}

auto TargetVerifier::TargetsAwaitingProbe() const -> std::vector<TargetId> {
  std::vector<TargetId> waiting;
  for (const auto& [target, entry] : verifications_) {
    if (!entry.requesters.empty() && !entry.result && !entry.probe_started) {
      waiting.push_back(target);
    }
  }
  return waiting;
}

auto TargetVerifier::HasConfirmedReachable(const VmId& requester,
                                           const TargetId& target,
                                           TimePoint now) const -> bool {
  const auto found = verifications_.find(target);
  if (found == verifications_.end()) {
    return false;
  }
  const auto confirmation = found->second.confirmed_at.find(requester);
  return confirmation != found->second.confirmed_at.end() &&
         now - confirmation->second < kConfirmationLifetime;
}

auto TargetVerifier::NextWake(Duration probe_timeout) const -> TimePoint {
  auto wake = TimePoint::max();
  for (const auto& [target, entry] : verifications_) {
    if (entry.probe_started && !entry.result) {
      wake = std::min(wake, *entry.probe_started + probe_timeout);
    }
  }
  return wake;
}

}  // namespace flamingoyoke
