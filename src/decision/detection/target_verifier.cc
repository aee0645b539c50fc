#include "decision/detection/target_verifier.h"

#include <algorithm>

namespace flamingoyoke {

auto TargetVerifier::OnRequest(const VmId& asker,
                               const TargetId& target,
                               TimePoint now) -> void {
  auto& entry = cases_[target];
  if (entry.askers.size() >= kMostAskers) {
    return;
  }
  entry.askers.insert(asker);
  entry.asked_at = now;
  if (entry.result && now - entry.result_at >= kReuse) {
    entry.result.reset();
  }
}

auto TargetVerifier::OnProbe(const TargetId& target, bool passed, TimePoint now)
    -> void {
  const auto found = cases_.find(target);
  if (found == cases_.end()) {
    return;
  }
  auto& entry = found->second;
  if (passed) {
    entry.askers.insert(entry.told_unreachable.begin(),
                        entry.told_unreachable.end());
  }
  entry.told_unreachable.clear();
  entry.probe_started.reset();
  entry.result = passed;
  entry.result_at = now;
}

auto TargetVerifier::TryProbe(const TargetId& target,
                              ProbeBudget& budget,
                              TimePoint now) -> bool {
  auto& entry = cases_[target];
  if (entry.result || entry.probe_started || entry.askers.empty()) {
    return false;
  }
  if (now - entry.asked_at >= kPatience) {
    entry.askers.clear();
    return false;
  }
  bool is_new = false;
  if (budget.TryStart(now, &is_new)) {
    entry.probe_started = now;
  }
  return is_new;
}

auto TargetVerifier::TakeAnswers(Duration probe_time, TimePoint now)
    -> std::vector<Verification> {
  std::vector<Verification> answers;
  for (auto& [target, entry] : cases_) {
    if (entry.probe_started && !entry.result &&
        now - *entry.probe_started >= probe_time) {
      entry.result = false;
      entry.result_at = now;
      entry.told_unreachable = entry.askers;
      entry.probe_started.reset();
    }
    if (!entry.result) {
      continue;
    }
    for (const auto& asker : entry.askers) {
      answers.push_back({asker, target, *entry.result});
      if (*entry.result) {
        entry.promised_at[asker] = now;
      }
    }
    entry.askers.clear();
    std::erase_if(entry.promised_at, [&](const auto& promise) {
      return now - promise.second >= kPromise;
    });
  }
  std::erase_if(cases_, [&](const auto& item) {
    const auto& entry = item.second;
    return entry.askers.empty() && entry.promised_at.empty() && entry.result &&
           now - entry.result_at >= kPromise;
  });
  return answers;
}

auto TargetVerifier::Waiting() const -> std::vector<TargetId> {
  std::vector<TargetId> waiting;
  for (const auto& [target, entry] : cases_) {
    if (!entry.askers.empty() && !entry.result && !entry.probe_started) {
      waiting.push_back(target);
    }
  }
  return waiting;
}

auto TargetVerifier::HasPromised(const VmId& asker,
                                 const TargetId& target,
                                 TimePoint now) const -> bool {
  const auto found = cases_.find(target);
  if (found == cases_.end()) {
    return false;
  }
  const auto promise = found->second.promised_at.find(asker);
  return promise != found->second.promised_at.end() &&
         now - promise->second < kPromise;
}

auto TargetVerifier::NextWake(Duration probe_time) const -> TimePoint {
  auto wake = TimePoint::max();
  for (const auto& [target, entry] : cases_) {
    if (entry.probe_started && !entry.result) {
      wake = std::min(wake, *entry.probe_started + probe_time);
    }
  }
  return wake;
}

}  // namespace flamingoyoke
