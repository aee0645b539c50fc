#include "decision/detection/service_evidence.h"

#include <algorithm>
#include <utility>

#include "decision/detection/cusum.h"

namespace flamingoyoke {
namespace {

// The shortest stall. 100 ms is five times the mean service time of today's
// upstreams.
constexpr Duration kLeastStall = std::chrono::milliseconds(100);
constexpr Duration kMostStall = std::chrono::seconds(5);
constexpr Duration kDefaultStall = std::chrono::milliseconds(250);
// With exponential service times, an attempt exceeds this many times the p95
// once in 8,000; it only costs a probe. See docs/decisions/detection.md.
constexpr int kStallFactor = 3;
constexpr Duration kStallLimitRefresh = std::chrono::milliseconds(50);
// Successes that are assumed in a group, so that a few outcomes do not give
// an extreme rate.
constexpr double kPriorTrials = 20;

auto SmoothedRate(const RateCounts& counts) -> double {
  const auto trials = static_cast<double>(counts.trials) + kPriorTrials;
  const auto failures =
      static_cast<double>(counts.failures) + kPriorTrials * kLeastHealthyRate;
  return failures / trials;
}

// Returns the rate of all groups but the worst. A single group is kept.
auto TrimmedRate(const std::vector<RateCounts>& groups) -> double {
  RateCounts sum;
  const RateCounts* worst = nullptr;
  std::size_t filled = 0;
  for (const auto& group : groups) {
    sum += group;
    filled += group.trials > 0 ? 1 : 0;
    if (worst == nullptr || SmoothedRate(group) > SmoothedRate(*worst)) {
      worst = &group;
    }
  }
  if (filled > 1) {
    sum.trials -= worst->trials;
    sum.failures -= worst->failures;
  }
  return SmoothedRate(sum);
}

auto Median(std::vector<Duration> values) -> std::optional<Duration> {
  if (values.empty()) {
    return std::nullopt;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

auto ServiceEvidence::OnLoadReport(const VmId& sender,
                                   const LoadReport& report,
                                   TimePoint now) -> void {
  if (!members_.contains(sender) && members_.size() >= kMostMembers) {
    return;
  }
  members_[sender].OnReport(report, now);
}

auto ServiceEvidence::Clear() -> void {
  members_.clear();
  for (auto& [target, evidence] : own_) {
    evidence = TargetEvidence();
  }
  borrowed_callers_ = RateWindow();
}

auto ServiceEvidence::HealthyRate(const TargetId& target,
                                  FailureClass sort,
                                  TimePoint now) -> double {
  std::vector<RateCounts> groups;
  groups.reserve(own_.size() + members_.size());
  for (auto& [id, evidence] : own_) {
    if (id != target) {
      groups.push_back(evidence.Rates(sort).Total(now));
    }
  }
  if (sort != FailureClass::kSlow) {
    for (auto& [id, member] : members_) {
      groups.push_back(member.Outcomes().Total(now));
    }
  }
  return TrimmedRate(groups);
}

auto ServiceEvidence::PeerRateSince(const TargetId& target,
                                    FailureClass sort,
                                    TimePoint onset,
                                    TimePoint now) const -> double {
  std::vector<RateCounts> groups;
  std::optional<double> best_own;
  for (const auto& [id, evidence] : own_) {
    if (id == target) {
      continue;
    }
    groups.push_back(evidence.Rates(sort).Since(onset, now));
    if (groups.back().trials > 0) {
      const double rate = SmoothedRate(groups.back());
      best_own = std::min(best_own.value_or(rate), rate);
    }
  }
  if (sort != FailureClass::kSlow) {
    for (const auto& [id, member] : members_) {
      groups.push_back(member.Outcomes().Since(onset, now));
    }
  }
  return std::max(TrimmedRate(groups), best_own.value_or(0));
}

auto ServiceEvidence::CallersElsewhereSince(const TargetId& target,
                                            TimePoint onset,
                                            TimePoint now) const -> RateCounts {
  auto counts = borrowed_callers_.Since(onset, now);
  for (const auto& [id, evidence] : own_) {
    if (id != target) {
      counts += evidence.Callers().Since(onset, now);
    }
  }
  return counts;
}

auto ServiceEvidence::PeerP95(const TargetId& target, TimePoint now)
    -> std::optional<Duration> {
  std::vector<Duration> values;
  for (auto& [id, evidence] : own_) {
    const auto p95 = evidence.Latency().P95(now);
    if (id != target && p95) {
      values.push_back(*p95);
    }
  }
  for (const auto& [id, member] : members_) {
    if (const auto p95 = member.P95(now)) {
      values.push_back(*p95);
    }
  }
  return Median(std::move(values));
}

auto ServiceEvidence::StallLimit(TimePoint now) -> Duration {
  if (stall_limit_ > Duration::zero() &&
      now - stall_limit_at_ < kStallLimitRefresh) {
    return stall_limit_;
  }
  std::vector<Duration> usual;
  std::vector<Duration> peaks;
  for (auto& [id, evidence] : own_) {
    if (const auto p95 = evidence.Latency().P95(now)) {
      usual.push_back(*p95);
    }
  }
  for (const auto& [id, member] : members_) {
    if (const auto p95 = member.P95(now)) {
      usual.push_back(*p95);
      peaks.push_back(*member.PeakP95(now));
    }
  }
  auto p95 = Median(std::move(usual));
  if (p95) {
    // The peak of a healthy service is its largest response times, about
    // twice the p95.
    p95 = std::max(*p95, Median(std::move(peaks)).value_or(*p95) / 2);
  }
  stall_limit_ = p95 ? std::clamp(kStallFactor * *p95, kLeastStall, kMostStall)
                     : kDefaultStall;
  stall_limit_at_ = now;
  return stall_limit_;
}

auto ServiceEvidence::IsCommonCause(const TargetId& target, TimePoint now)
    -> bool {
  const auto limit = StallLimit(now);
  std::size_t groups = members_.size();
  std::size_t ill = 0;
  for (auto& [id, member] : members_) {
    ill += member.IsIll(now) ? 1 : 0;
  }
  for (const auto& [id, evidence] : own_) {
    if (id == target) {
      continue;
    }
    ++groups;
    const auto oldest = evidence.InFlight().OldestStart();
    const bool is_stalled =
        oldest && now - *oldest >= limit && evidence.last_answer() < *oldest;
    ill += is_stalled ? 1 : 0;
  }
  return groups > 0 && 2 * ill > groups;
}

}  // namespace flamingoyoke
