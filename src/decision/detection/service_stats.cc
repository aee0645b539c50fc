#include "decision/detection/service_stats.h"

#include <algorithm>
#include <utility>

#include "decision/detection/cusum.h"

namespace flamingoyoke {
namespace {

// 100 ms is five times the current mean service time of the upstreams.
constexpr Duration kMinOverdueThreshold = std::chrono::milliseconds(100);
constexpr Duration kMaxOverdueThreshold = std::chrono::seconds(5);
constexpr Duration kDefaultOverdueThreshold = std::chrono::milliseconds(250);
// With exponential service times, one attempt in 8,000 takes longer than this
// multiple of the p95. A false positive only costs a probe. See
// docs/decisions/detection.md.
constexpr int kOverdueFactor = 3;
constexpr Duration kOverdueThresholdRefresh = std::chrono::milliseconds(50);
// Outcomes at the minimum healthy failure rate that are added to each group,
// so that a few outcomes do not give an extreme rate.
constexpr double kPriorTrials = 20;

auto SmoothedRate(const OutcomeCounts& counts) -> double {
  const auto trials = static_cast<double>(counts.trials) + kPriorTrials;
  const auto failures = static_cast<double>(counts.failures) +
                        kPriorTrials * kMinHealthyFailureRate;
  return failures / trials;
}

// Returns the failure rate of all groups except the worst. If only one group
// has outcomes, it is kept.
auto TrimmedRate(const std::vector<OutcomeCounts>& groups) -> double {
  OutcomeCounts sum;
  const OutcomeCounts* worst = nullptr;
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

auto ServiceStats::OnLoadReport(const VmId& sender,
                                const LoadReport& report,
                                TimePoint now) -> void {
  if (!members_.contains(sender) && members_.size() >= kMaxMembers) {
    return;
  }
  members_[sender].OnReport(report, now);
}

auto ServiceStats::Clear() -> void {
  members_.clear();
  for (auto& [target, stats] : owned_) {
    stats = TargetStats();
  }
  borrowed_caller_errors_ = RateWindow();
}

auto ServiceStats::PeerFailureRate(const TargetId& target,
                                   FailureClass failure_class,
                                   TimePoint now) -> double {
  std::vector<OutcomeCounts> groups;
  groups.reserve(owned_.size() + members_.size());
  for (auto& [id, stats] : owned_) {
    if (id != target) {
      groups.push_back(stats.Rates(failure_class).Total(now));
    }
  }
  if (failure_class != FailureClass::kSlow) {
    for (auto& [id, member] : members_) {
      groups.push_back(member.Outcomes().Total(now));
    }
  }
  return TrimmedRate(groups);
}

auto ServiceStats::PeerFailureRateSince(const TargetId& target,
                                        FailureClass failure_class,
                                        TimePoint onset,
                                        TimePoint now) const -> double {
  std::vector<OutcomeCounts> groups;
  std::optional<double> best_owned;
  for (const auto& [id, stats] : owned_) {
    if (id == target) {
      continue;
    }
    groups.push_back(stats.Rates(failure_class).Since(onset, now));
    if (groups.back().trials > 0) {
      const double rate = SmoothedRate(groups.back());
      best_owned = std::min(best_owned.value_or(rate), rate);
    }
  }
  if (failure_class != FailureClass::kSlow) {
    for (const auto& [id, member] : members_) {
      groups.push_back(member.Outcomes().Since(onset, now));
    }
  }
  return std::max(TrimmedRate(groups), best_owned.value_or(0));
}

auto ServiceStats::CallerErrorsElsewhereSince(const TargetId& target,
                                              TimePoint onset,
                                              TimePoint now) const
    -> OutcomeCounts {
  auto counts = borrowed_caller_errors_.Since(onset, now);
  for (const auto& [id, stats] : owned_) {
    if (id != target) {
      counts += stats.CallerErrors().Since(onset, now);
    }
  }
  return counts;
}

auto ServiceStats::PeerP95(const TargetId& target, TimePoint now)
    -> std::optional<Duration> {
  std::vector<Duration> values;
  for (auto& [id, stats] : owned_) {
    const auto p95 = stats.Latency().P95(now);
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

auto ServiceStats::OverdueThreshold(TimePoint now) -> Duration {
  if (overdue_threshold_ > Duration::zero() &&
      now - overdue_threshold_at_ < kOverdueThresholdRefresh) {
    return overdue_threshold_;
  }
  std::vector<Duration> usual;
  std::vector<Duration> peaks;
  for (auto& [id, stats] : owned_) {
    if (const auto p95 = stats.Latency().P95(now)) {
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
    // In a healthy service, the peak is close to the largest response times,
    // about twice the p95.
    p95 = std::max(*p95, Median(std::move(peaks)).value_or(*p95) / 2);
  }
  overdue_threshold_ =
      p95 ? std::clamp(kOverdueFactor * *p95, kMinOverdueThreshold,
                       kMaxOverdueThreshold)
          : kDefaultOverdueThreshold;
  overdue_threshold_at_ = now;
  return overdue_threshold_;
}

auto ServiceStats::IsCommonCause(const TargetId& target, TimePoint now)
    -> bool {
  const auto limit = OverdueThreshold(now);
  std::size_t groups = members_.size();
  std::size_t degraded = 0;
  for (auto& [id, member] : members_) {
    degraded += member.IsDegraded(now) ? 1 : 0;
  }
  for (const auto& [id, stats] : owned_) {
    if (id == target) {
      continue;
    }
    ++groups;
    const auto oldest = stats.InFlight().OldestStart();
    const bool is_stalled =
        oldest && now - *oldest >= limit && stats.last_answer() < *oldest;
    degraded += is_stalled ? 1 : 0;
  }
  return groups > 0 && 2 * degraded > groups;
}

}  // namespace flamingoyoke
