#include "decision/gateway/target_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingoyoke {
namespace {

// A peer's slots count for this long after its last report.
constexpr Duration kPeerUseLife = std::chrono::milliseconds(1000);
// Slots in use are reported again after this time, well within their life.
constexpr Duration kRepeatReport = std::chrono::milliseconds(400);
// A target that shed a request has no room for about half a typical request.
constexpr Duration kShedPause = std::chrono::milliseconds(60);
// Above the first probability a target gets work at once only to keep the
// floor, and above the second one only from requests that had to wait: an
// unhealthy target is no capacity.
constexpr double kAvoidAbove = 0.5;
constexpr double kUnhealthyAbove = 0.75;
// Part of its objective after which a request takes any target.
constexpr double kPatientShare = 0.5;
// Below this probability targets count as healthy and take turns.
constexpr double kHealthyBelow = 0.3;
// A fresh target without any work is tried by repeatable work after the first
// time and by any work after the second: it may be the capacity that lacks.
constexpr Duration kTryFresh = std::chrono::milliseconds(300);
constexpr Duration kTryFreshByAll = std::chrono::milliseconds(1500);
// Repeatable work looks at targets without evidence for this long.
constexpr Duration kStaleEvidence = std::chrono::milliseconds(1500);
// Share of repeatable requests that look at such a target.
constexpr double kExploreShare = 0.1;
// Costs are parts of the value of one request.
constexpr double kLoadCost = 0.05;
constexpr double kWarmingCost = 0.08;
// Traffic between failure domains is billed by the byte; a megabyte costs
// about as much as four lost requests.
constexpr double kCrossDomainCostPerByte = 4e-6;
// Answers whose size is not known beforehand.
constexpr double kTypicalAnswerBytes = 2000;
// A failure of work that is tried again elsewhere costs little but time.
constexpr double kRetriedFailureWeight = 0.3;
// Window of the failing share, and the share above which all targets that are
// healthy take turns.
constexpr Duration kFailingWindow = std::chrono::milliseconds(2000);
constexpr std::uint64_t kFailingTrials = 6;
constexpr double kSpreadShare = 0.06;
// The floor asks that healthy targets get work every two seconds while a tenth
// of the requests fail. A power loss of all vms fails that many at once and
// without notice, so targets that look healthy get work at all times; from this
// share of failed requests on, all others get some too. A target counts as
// healthy again two seconds after it failed. At most the given part of them may
// stay idle, which leaves room for targets that only look healthy from here.
constexpr double kFloorShareOfFailures = 0.09;
constexpr Duration kHealthyAfter = std::chrono::milliseconds(1900);
constexpr double kIdleShare = 0.2;
// From this share of failed requests on none may stay idle: those that did
// would be the ones that failed before, and on a day with many faults these may
// be most of the healthy ones. Trying all targets fails about 7% of the
// requests while 30% of the targets are unhealthy. The share is above the sum
// of that and of the usual 5%, or else the trials would keep themselves going.
constexpr double kNoIdleShareOfFailures = 0.13;
// When a target without work gets some. Each gateway draws a time for each
// target, so that the first one can tell the others of its request in time, and
// an unhealthy target is tried by one of them instead of all.
constexpr Duration kIdleAfterLeast = std::chrono::milliseconds(1200);
constexpr Duration kIdleAfterMost = std::chrono::milliseconds(1800);

auto IsOlder(const std::optional<TimePoint>& time, Duration age, TimePoint now)
    -> bool {
  return !time || now - *time >= age;
}

auto IsTried(const TargetWish& wish, const TargetId& target) -> bool {
  return wish.tried != nullptr &&
         std::find(wish.tried->begin(), wish.tried->end(), target) !=
             wish.tried->end();
}

// Counts `evidence` in a report to peers.
auto Count(Evidence evidence, TargetOutcomes& outcomes) -> void {
  switch (evidence) {
    case Evidence::kSucceeded:
      ++outcomes.succeeded;
      return;
    case Evidence::kFailed:
    case Evidence::kBroken:
    case Evidence::kRefused:
      ++outcomes.failed;
      return;
    case Evidence::kTimedOut:
      ++outcomes.timed_out;
      return;
    case Evidence::kOverdue:
      ++outcomes.slow;
      return;
    case Evidence::kShed:
      return;
  }
}

}  // namespace

TargetPool::TargetPool(Random random, double floor_share)
    : random_(random), floor_share_(floor_share) {}

auto TargetPool::Configure(const std::vector<RegisteredTarget>& targets,
                           const FailureDomainId& own_domain,
                           TimePoint now) -> void {
  own_domain_ = own_domain;
  std::map<TargetId, Entry> kept;
  for (const auto& spec : targets) {
    const auto known = targets_.find(spec.id);
    const bool is_same = known != targets_.end() &&
                         known->second.spec.started_ms == spec.started_ms &&
                         known->second.spec.host == spec.host &&
                         known->second.spec.port == spec.port;
    auto& entry = kept[spec.id];
    if (is_same) {
      entry = std::move(known->second);
    } else {
      entry.registered = now;
      entry.news.target = spec.id;
    }
    entry.spec = spec;
  }
  targets_ = std::move(kept);
}

auto TargetPool::IsUsable(const Entry& entry) -> bool {
  return !entry.spec.leaving && !entry.replaced;
}

auto TargetPool::UsedSlots(const Entry& entry, TimePoint now) -> std::uint32_t {
  auto used = entry.in_flight;
  for (const auto& [vm, use] : entry.peers) {
    if (now - use.heard < kPeerUseLife) {
      used += use.in_flight;
    }
  }
  return used;
}

auto TargetPool::UnhealthyLimit(TimePoint now) const -> double {
  std::vector<double> unhealthy;
  for (const auto& [id, entry] : targets_) {
    if (IsUsable(entry)) {
      unhealthy.push_back(entry.belief.UnhealthyProbability(now));
    }
  }
  if (unhealthy.empty()) {
    return kAvoidAbove;
  }
  const auto floor = static_cast<std::size_t>(
      std::ceil(floor_share_ * static_cast<double>(unhealthy.size())));
  const auto last = std::clamp<std::size_t>(floor, 1, unhealthy.size()) - 1;
  std::nth_element(unhealthy.begin(),
                   unhealthy.begin() + static_cast<std::ptrdiff_t>(last),
                   unhealthy.end());
  return std::clamp(unhealthy[last], kAvoidAbove, kUnhealthyAbove);
}

auto TargetPool::CostOf(const Entry& entry,
                        const TargetWish& wish,
                        TimePoint now) const -> double {
  const auto weight = wish.may_retry ? kRetriedFailureWeight : 1.0;
  auto cost = weight * entry.belief.FailureProbability(now);
  cost += kLoadCost * UsedSlots(entry, now) /
          std::max<std::uint32_t>(1, entry.spec.slots);
  if (entry.spec.warming) {
    cost += kWarmingCost;
  }
  if (entry.spec.failure_domain != own_domain_) {
    cost += kCrossDomainCostPerByte *
            (static_cast<double>(wish.body_bytes) + kTypicalAnswerBytes);
  }
  return cost;
}

auto TargetPool::FailingShare(const RateWindow& window, TimePoint now)
    -> double {
  const auto counts = window.Since(now - kFailingWindow, now);
  return counts.trials < kFailingTrials
             ? 0.0
             : static_cast<double>(counts.failures) /
                   static_cast<double>(counts.trials);
}

auto TargetPool::FindIdleBelowFloor(const TargetWish& wish,
                                    double failing_share,
                                    TimePoint now) -> Entry* {
  const bool many_fail = failing_share > kFloorShareOfFailures;
  std::size_t healthy = 0;
  std::size_t idle = 0;
  Entry* best = nullptr;
  for (auto& [id, entry] : targets_) {
    const bool looks_healthy =
        entry.last_used.has_value() &&
        entry.belief.UnhealthyProbability(now) <= kAvoidAbove;
    if (!IsUsable(entry) || !IsOlder(entry.last_failed, kHealthyAfter, now) ||
        (!many_fail && !looks_healthy)) {
      continue;
    }
    ++healthy;
    if (!IsOlder(entry.last_used, entry.idle_after, now)) {
      continue;
    }
    ++idle;
    const bool is_better =
        best == nullptr || entry.belief.UnhealthyProbability(now) <
                               best->belief.UnhealthyProbability(now);
    if (is_better && !IsTried(wish, id) &&
        UsedSlots(entry, now) < entry.spec.slots && now >= entry.closed_until) {
      best = &entry;
    }
  }
  // Work that is tried again elsewhere may look at each of them.
  const bool none_idle =
      wish.may_retry || failing_share > kNoIdleShareOfFailures;
  const auto allowed =
      none_idle ? 0.0 : kIdleShare * static_cast<double>(healthy);
  return static_cast<double>(idle) > allowed ? best : nullptr;
}

auto TargetPool::FindUntested(const std::vector<Candidate>& candidates,
                              const TargetWish& wish,
                              TimePoint now) -> Entry* {
  for (const auto& candidate : candidates) {
    const auto& entry = *candidate.entry;
    const auto age = now - entry.registered;
    if (!entry.last_used && entry.in_flight == 0 &&
        age >= (wish.may_retry ? kTryFresh : kTryFreshByAll)) {
      return candidate.entry;
    }
  }
  if (!wish.may_retry || random_.Unit() >= kExploreShare) {
    return nullptr;
  }
  Entry* stalest = nullptr;
  for (const auto& candidate : candidates) {
    auto& entry = *candidate.entry;
    const auto age = entry.belief.EvidenceAge(now);
    if (age < kStaleEvidence || UsedSlots(entry, now) > 0 ||
        candidate.unhealthy > kAvoidAbove) {
      continue;
    }
    if (stalest == nullptr || age > stalest->belief.EvidenceAge(now)) {
      stalest = &entry;
    }
  }
  return stalest;
}

auto TargetPool::Choose(const TargetWish& wish, TimePoint now)
    -> std::optional<TargetId> {
  const auto failing_share = FailingShare(requests_, now);
  const bool many_fail = failing_share > kFloorShareOfFailures;
  if (many_fail) {
    if (const auto* idle = FindIdleBelowFloor(wish, failing_share, now)) {
      return idle->spec.id;
    }
  }
  const auto patience =
      std::clamp(1 - wish.waited_share / kPatientShare, 0.0, 1.0);
  const auto limit = 1 - (1 - UnhealthyLimit(now)) * patience;
  std::vector<Candidate> candidates;
  for (auto& [id, entry] : targets_) {
    if (!IsUsable(entry) || now < entry.closed_until || IsTried(wish, id) ||
        UsedSlots(entry, now) >= entry.spec.slots) {
      continue;
    }
    const auto unhealthy = entry.belief.UnhealthyProbability(now);
    if (unhealthy <= limit) {
      candidates.push_back({&entry, unhealthy, CostOf(entry, wish, now)});
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (const auto* untested = FindUntested(candidates, wish, now)) {
    return untested->spec.id;
  }
  if (!many_fail) {
    if (const auto* idle = FindIdleBelowFloor(wish, failing_share, now)) {
      return idle->spec.id;
    }
  }
  const bool spread = FailingShare(outcomes_, now) > kSpreadShare;
  const auto is_better = [&](const Candidate& a, const Candidate& b) {
    const bool a_healthy = a.unhealthy < kHealthyBelow;
    const bool b_healthy = b.unhealthy < kHealthyBelow;
    if (spread && a_healthy && b_healthy) {
      return a.entry->last_used < b.entry->last_used;
    }
    return a.cost < b.cost;
  };
  const auto best =
      std::min_element(candidates.begin(), candidates.end(), is_better);
  return best->entry->spec.id;
}

auto TargetPool::OnStarted(const TargetId& target, TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  auto& entry = found->second;
  ++entry.in_flight;
  NoteUsed(entry, now);
  MarkNews(entry);
}

auto TargetPool::OnEnded(const TargetId& target,
                         std::optional<Evidence> evidence,
                         TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  auto& entry = found->second;
  entry.in_flight -= std::min<std::uint32_t>(entry.in_flight, 1);
  MarkNews(entry);
  if (evidence) {
    Note(entry, *evidence, now);
  }
}

auto TargetPool::OnOverdue(const TargetId& target, TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    Note(found->second, Evidence::kOverdue, now);
  }
}

auto TargetPool::Note(Entry& entry, Evidence evidence, TimePoint now) -> void {
  entry.belief.Add(evidence, now);
  Count(evidence, entry.news);
  MarkNews(entry);
  const bool is_failure = evidence == Evidence::kFailed ||
                          evidence == Evidence::kBroken ||
                          evidence == Evidence::kTimedOut;
  if (is_failure) {
    entry.last_failed = now;
  }
  if (is_failure || evidence == Evidence::kSucceeded) {
    outcomes_.Add({1, is_failure ? std::uint64_t{1} : 0}, now);
  }
}

auto TargetPool::OnShed(const TargetId& target, TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.closed_until = now + kShedPause;
  }
}

auto TargetPool::OnReplaced(const TargetId& target) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.replaced = true;
  }
}

auto TargetPool::OnRequestEnded(bool served, TimePoint now) -> void {
  requests_.Add({1, served ? std::uint64_t{0} : 1}, now);
  ++(served ? request_news_.served : request_news_.unserved);
  has_news_ = true;
}

auto TargetPool::OnPeerRequests(const RequestCounts& requests, TimePoint now)
    -> void {
  const std::uint64_t unserved = requests.unserved;
  requests_.Add({requests.served + unserved, unserved}, now);
}

auto TargetPool::TakeRequestNews() -> RequestCounts {
  return std::exchange(request_news_, {});
}

auto TargetPool::OnResumed() -> void {
  for (auto& [id, entry] : targets_) {
    entry.peers.clear();
  }
}

auto TargetPool::OnPeerReport(const VmId& peer,
                              const std::vector<TargetOutcomes>& outcomes,
                              TimePoint now) -> void {
  const auto repeat = [&](Entry& entry, Evidence evidence,
                          std::uint32_t times) {
    for (std::uint32_t i = 0; i < times; ++i) {
      entry.belief.Add(evidence, now);
    }
  };
  for (const auto& report : outcomes) {
    const auto found = targets_.find(report.target);
    if (found == targets_.end()) {
      continue;
    }
    auto& entry = found->second;
    entry.peers[peer] = {report.in_flight, now};
    if (report.in_flight > 0 || report.succeeded > 0 || report.failed > 0) {
      NoteUsed(entry, now);
    }
    if (report.failed > 0 || report.timed_out > 0) {
      entry.last_failed = now;
    }
    repeat(entry, Evidence::kSucceeded, report.succeeded);
    repeat(entry, Evidence::kOverdue, report.slow);
    repeat(entry, Evidence::kTimedOut, report.timed_out);
    repeat(entry, Evidence::kFailed, report.failed);
    const std::uint64_t failures = report.failed + report.timed_out;
    outcomes_.Add({failures + report.succeeded, failures}, now);
  }
}

auto TargetPool::NoteUsed(Entry& entry, TimePoint now) -> void {
  entry.last_used = now;
  const auto span =
      static_cast<double>((kIdleAfterMost - kIdleAfterLeast).count());
  entry.idle_after = kIdleAfterLeast +
                     Duration(static_cast<std::int64_t>(span * random_.Unit()));
}

auto TargetPool::MarkNews(Entry& entry) -> void {
  entry.has_news = true;
  has_news_ = true;
}

auto TargetPool::TakeNews(TimePoint now) -> std::vector<TargetOutcomes> {
  std::vector<TargetOutcomes> news;
  bool more = false;
  for (auto& [id, entry] : targets_) {
    const bool repeats =
        entry.in_flight > 0 && now - entry.told >= kRepeatReport;
    more = more || entry.in_flight > 0;
    if (!entry.has_news && !repeats) {
      continue;
    }
    entry.news.target = id;
    entry.news.in_flight = entry.in_flight;
    news.push_back(entry.news);
    entry.news = {};
    entry.has_news = false;
    entry.told = now;
  }
  has_news_ = more;
  return news;
}

auto TargetPool::HasUsable() const -> bool {
  return std::any_of(targets_.begin(), targets_.end(),
                     [](const auto& each) { return IsUsable(each.second); });
}

auto TargetPool::HasUntried(const std::vector<TargetId>& tried) const -> bool {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& each) {
    return IsUsable(each.second) &&
           std::find(tried.begin(), tried.end(), each.first) == tried.end();
  });
}

auto TargetPool::UsableSlots(TimePoint now) const -> std::uint32_t {
  const auto limit = UnhealthyLimit(now);
  std::uint32_t slots = 0;
  for (const auto& [id, entry] : targets_) {
    if (IsUsable(entry) && entry.belief.UnhealthyProbability(now) <= limit) {
      slots += entry.spec.slots;
    }
  }
  return slots;
}

auto TargetPool::UnhealthyProbability(const TargetId& target,
                                      TimePoint now) const -> double {
  const auto found = targets_.find(target);
  return found == targets_.end()
             ? 1.0
             : found->second.belief.UnhealthyProbability(now);
}

}  // namespace flamingoyoke
