#include "decision/gateway/target_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/gateway/outcome_count.h"

namespace flamingoyoke {
namespace {

// Time to live of a peer's reported slot usage.
constexpr Duration kPeerUsageTtl = std::chrono::milliseconds(1000);
// Slots in usage are reported again at this interval, well within
// kPeerUsageTtl.
constexpr Duration kInFlightReportPeriod = std::chrono::milliseconds(400);
// A target that shed a request stays full for about half a typical request.
constexpr Duration kShedPause = std::chrono::milliseconds(60);
// Targets above the first probability receive requests immediately only to keep
// the floor. Targets above the second one receive only requests that had to
// wait, because an unhealthy target adds no capacity.
constexpr double kAvoidThreshold = 0.5;
constexpr double kUnhealthyThreshold = 0.75;
// Share of its objective after which a waiting request accepts any target.
constexpr double kMaxWaitShare = 0.5;
// Below this probability a target counts as healthy for rotation.
constexpr double kHealthyThreshold = 0.3;
// A new target gets its first repeatable request after the first delay and its
// first request of any kind after the second, since the service may need its
// capacity.
constexpr Duration kNewTargetDelayRepeatable = std::chrono::milliseconds(300);
constexpr Duration kNewTargetDelayAny = std::chrono::milliseconds(1500);
// Targets without evidence for this long are explored by repeatable requests.
constexpr Duration kStaleEvidenceAge = std::chrono::milliseconds(1500);
// Share of repeatable requests that explore such a target.
constexpr double kExplorationShare = 0.1;
// Costs are in units of one lost request.
constexpr double kLoadCost = 0.05;
// Of the average run time of the service that a request waits at a target.
constexpr double kWaitCost = 0.2;
constexpr double kWarmingCost = 0.08;
// Traffic between failure domains is billed per byte. A megabyte costs about as
// much as four lost requests.
constexpr double kCrossDomainCostPerByte = 4e-6;
// Assumed answer size, which is unknown in advance.
constexpr double kTypicalAnswerBytes = 2000;
// Number of targets of other gateways that a request chooses from in the own
// failure domain, and elsewhere. With more of them, gateways with the same old
// news choose the same target.
constexpr std::size_t kNearCandidates = 4;
constexpr std::size_t kFarCandidates = 4;
// Draws for each of them before the others are taken in the order of a random
// start. With fewer, the healthiest are missed while many targets fail.
constexpr std::size_t kDrawsPerCandidate = 3;
// Range of a target's learned speed over that of the service. Run times differ
// by request, so larger differences may be chance.
constexpr double kMaxRelativeSpeed = 2;
// Targets that were used within this time take turns by what they can do. With
// fewer requests all take turns alike, as each must be in use for the floor.
constexpr Duration kWeighedTurnTime = std::chrono::milliseconds(100);
constexpr double kOthersWeight = 0.05;
// Targets of other failure domains are considered if a request would wait
// longer at the near ones. In average run times of the service.
constexpr double kMaxNearWait = 0.3;
// Targets of other gateways are considered if a request would wait as long at
// an own target, and chosen if they are cheaper by the margin, as evidence
// about them is late.
constexpr double kMinComparedWait = 0.03;
constexpr double kLessLoadedMargin = 0.02;
// Evidence about targets of other gateways is late, so only those that were
// healthy get requests at once. A request that has waited for a tenth of its
// objective accepts one without evidence.
constexpr double kMaxOtherUnhealthy = 0.1;
constexpr double kOtherPatience = 2;
// Weight of a failure that is retried on another target, which costs mainly
// time.
constexpr double kRetriedFailureWeight = 0.3;
// Window for the failure share, and the failure share above which requests
// rotate over all healthy targets.
constexpr Duration kFailureWindow = std::chrono::milliseconds(2000);
constexpr std::uint64_t kMinFailureSamples = 6;
constexpr double kRotationFailureShare = 0.06;
// The required floor: while a tenth of the requests fail, healthy targets must
// receive requests every two seconds. A power failure of all VMs fails that
// many at once without warning, so targets that look healthy always receive
// requests; above this failure share all other targets do too. A target counts
// as healthy again two seconds after its last failure. At most kMaxIdleShare of
// them may be idle, which tolerates targets that only look healthy to this
// gateway.
constexpr double kFloorFailureShare = 0.09;
constexpr Duration kRecoveryTime = std::chrono::milliseconds(1900);
constexpr double kMaxIdleShare = 0.2;
// Above this failure share no target may stay idle. The idle ones would be
// those that failed before, and with many faults these can be most of the
// healthy targets. Trying all targets fails about 7% of the requests while 30%
// of the targets are unhealthy; the share leaves these failures out, which
// would keep it above the threshold.
constexpr double kNoIdleFailureShare = 0.13;
// Range of the time after which an idle target gets a request. The time is
// random, as targets that failed together would else be tried together.
constexpr Duration kMinIdleTime = std::chrono::milliseconds(1200);
constexpr Duration kMaxIdleTime = std::chrono::milliseconds(1800);

// The floor is kept at all times, because requests may be found to be unserved
// only in hindsight: a target without a request for this long is idle, and so
// many idle ones get one that the floor share of the service is in use.
constexpr Duration kFloorIdleTime = std::chrono::milliseconds(1300);
// Requests that can be retried go first, and others only at a failure share
// that may soon reach kFloorFailureShare: a target that is likely to fail costs
// them their answer.
constexpr Duration kFloorIdleTimeOnce = std::chrono::milliseconds(1700);
constexpr double kFloorOnceFailureShare = 0.05;
// The floor counts the sound targets alone. Some are not sound because of their
// links, which doesn't show here, so 70% of all targets may be fewer of these.
// Every idle target therefore gets a request if it is at most this likely to be
// unhealthy: about 3 s after the last of several failures if the request can be
// retried, and after 6 s otherwise, since then a failure costs the caller the
// answer.
constexpr double kRecoveredThreshold = 0.8;
constexpr double kRecoveredThresholdOnce = 0.65;
// Share of a gateway's requests that may be such trials without a retry on
// targets that look unhealthy. Without a limit, a service with few requests
// loses a large part of them to trials.
constexpr double kOnceTrialShare = 0.02;
// All targets of the service are visited once in this period.
constexpr Duration kFloorCheckPeriod = std::chrono::milliseconds(100);

// Added to a rest: the time that its answer took to arrive is not known.
constexpr Duration kRestMargin = std::chrono::milliseconds(50);
// Gateways resume sending over this part of the rest, up to the maximum.
constexpr int kRestPerSpread = 4;
constexpr Duration kMaxRestSpread = std::chrono::milliseconds(500);
// Maximum number of targets that are missing in the registry whose leaving is
// remembered.
constexpr std::size_t kMaxAnnouncedLeaving = 1024;

auto IsUnsetOrOlder(const std::optional<TimePoint>& time,
                    Duration age,
                    TimePoint now) -> bool {
  return !time || now - *time >= age;
}

auto IsTried(const TargetRequirements& requirements, const TargetId& target)
    -> bool {
  return requirements.tried != nullptr &&
         std::find(requirements.tried->begin(), requirements.tried->end(),
                   target) != requirements.tried->end();
}

}  // namespace

TargetPool::TargetPool(Random random, double floor_share)
    : random_(random), floor_share_(floor_share) {}

auto TargetPool::Configure(const std::vector<RegisteredTarget>& targets,
                           const FailureDomainId& own_domain,
                           TimePoint now,
                           const VmId& self,
                           const std::vector<PoolGateway>& gateways) -> void {
  own_domain_ = own_domain;
  const auto owned = OwnedTargets(self, targets, gateways);
  std::map<TargetId, TargetState> kept;
  for (const auto& spec : targets) {
    const auto known = targets_.find(spec.id);
    const bool is_same = known != targets_.end() &&
                         known->second.spec.started_ms == spec.started_ms &&
                         known->second.spec.host == spec.host &&
                         known->second.spec.port == spec.port;
    auto& state = kept[spec.id];
    if (is_same) {
      state = std::move(known->second);
    } else {
      state.registered = now;
      state.unreported.target = spec.id;
    }
    state.spec = spec;
    const auto leaving = announced_leaving_.find(spec.id);
    if (leaving != announced_leaving_.end() &&
        leaving->second == spec.started_ms) {
      state.availability.OnLeaving();
    }
    state.owned = gateways.empty() || owned.contains(spec.id);
  }
  has_other_owners_ = !gateways.empty();
  targets_ = std::move(kept);
  if (announced_leaving_.size() > kMaxAnnouncedLeaving + targets_.size()) {
    std::erase_if(announced_leaving_, [this](const auto& each) {
      return !targets_.contains(each.first);
    });
  }
  owned_.clear();
  near_others_ = {};
  far_others_ = {};
  for (auto& [id, state] : targets_) {
    (state.owned ? owned_ : OthersLike(state).all).push_back(&state);
  }
}

auto TargetPool::OthersLike(const TargetState& state) -> OtherTargets& {
  return state.spec.failure_domain == own_domain_ ? near_others_ : far_others_;
}

auto TargetPool::IsUsable(const TargetState& state) -> bool {
  return !state.spec.leaving && !state.replaced &&
         !state.availability.has_left();
}

auto TargetPool::IsAwake(const TargetState& state, TimePoint now) -> bool {
  return IsUsable(state) &&
         state.availability.At(now) != Availability::kResting;
}

auto TargetPool::AllowsRequest(const TargetState& state,
                               const TargetRequirements& requirements,
                               TimePoint now) -> bool {
  switch (state.availability.At(now)) {
    case Availability::kOpen:
      return true;
    case Availability::kAvoided:
      return requirements.accepts_avoided;
    case Availability::kReopening:
      return state.in_flight == 0;
    case Availability::kResting:
    case Availability::kLeaving:
      return false;
  }
  return false;
}

auto TargetPool::ExpectedLoad(const TargetState& state,
                              double max_average,
                              TimePoint now) const -> double {
  // Reports come from a part of the gateways only. Those from before the
  // target's last statement are part of it.
  const auto stated_at = state.load.stated_at();
  double reported = 0;
  for (const auto& [vm, usage] : state.peers) {
    if (now - usage.reported_at < kPeerUsageTtl &&
        (!stated_at || usage.reported_at > *stated_at)) {
      reported += usage.in_flight;
    }
  }
  return state.in_flight +
         std::max(reported,
                  state.load.Others(now, UsualOthers(state), max_average));
}

auto TargetPool::UsualOthers(const TargetState& state) const -> double {
  return others_per_slot_ * state.spec.slots;
}

auto TargetPool::ExpectedLoad(const TargetState& state, TimePoint now) const
    -> double {
  return ExpectedLoad(state, state.spec.slots, now);
}

auto TargetPool::CapacityOf(const TargetState& state) const -> double {
  const auto slots = std::max<std::uint32_t>(1, state.spec.slots);
  const auto usual = run_time_.value();
  const auto own = state.load.run_time();
  // Without statements, requests of others may be why a target is slow.
  if (!state.load.stated_at() || own <= Duration::zero() ||
      usual <= Duration::zero()) {
    return slots;
  }
  return slots * std::clamp(ToSeconds(usual) / ToSeconds(own),
                            1 / kMaxRelativeSpeed, kMaxRelativeSpeed);
}

auto TargetPool::ExpectedWait(const TargetState& state, TimePoint now) const
    -> double {
  const double slots = std::max<std::uint32_t>(1, state.spec.slots);
  const auto excess = ExpectedExcess(
      ExpectedLoad(state, now),
      state.load.OthersVariance(now, UsualOthers(state)), slots - 1);
  return excess / CapacityOf(state);
}

auto TargetPool::MaxUnhealthyProbability(TimePoint now) const -> double {
  std::vector<double> unhealthy;
  for (const auto* state : owned_) {
    if (IsAwake(*state, now)) {
      unhealthy.push_back(state->health.UnhealthyProbability(now));
    }
  }
  if (unhealthy.empty()) {
    return kAvoidThreshold;
  }
  const auto floor = static_cast<std::size_t>(
      std::ceil(floor_share_ * static_cast<double>(unhealthy.size())));
  const auto last = std::clamp<std::size_t>(floor, 1, unhealthy.size()) - 1;
  std::nth_element(unhealthy.begin(),
                   unhealthy.begin() + static_cast<std::ptrdiff_t>(last),
                   unhealthy.end());
  return std::clamp(unhealthy[last], kAvoidThreshold, kUnhealthyThreshold);
}

auto TargetPool::EstimateCost(const TargetState& state,
                              const TargetRequirements& requirements,
                              TimePoint now) const -> double {
  const auto weight = requirements.may_retry ? kRetriedFailureWeight : 1.0;
  return weight * state.health.FailureProbability(now) +
         EstimatePlacementCost(state, requirements, now);
}

auto TargetPool::EstimatePlacementCost(const TargetState& state,
                                       const TargetRequirements& requirements,
                                       TimePoint now) const -> double {
  // Fractions of a request would make one of several idle targets the best for
  // all requests.
  auto cost =
      kLoadCost * std::round(ExpectedLoad(state, now)) / CapacityOf(state) +
      kWaitCost * ExpectedWait(state, now);
  if (state.spec.warming) {
    cost += kWarmingCost;
  }
  if (state.spec.failure_domain != own_domain_) {
    cost +=
        kCrossDomainCostPerByte *
        (static_cast<double>(requirements.body_bytes) + kTypicalAnswerBytes);
  }
  return cost;
}

auto TargetPool::FailureShare(const RateWindow& window, TimePoint now)
    -> double {
  const auto counts = window.Since(now - kFailureWindow, now);
  return counts.trials < kMinFailureSamples
             ? 0.0
             : static_cast<double>(counts.failures) /
                   static_cast<double>(counts.trials);
}

auto TargetPool::FindIdleTarget(const TargetRequirements& requirements,
                                double failure_share,
                                TimePoint now) -> TargetState* {
  const bool many_fail = failure_share > kFloorFailureShare;
  std::size_t healthy = 0;
  std::size_t idle = 0;
  TargetState* best = nullptr;
  for (auto* const each : owned_) {
    auto& state = *each;
    const bool looks_healthy =
        state.last_used.has_value() &&
        state.health.UnhealthyProbability(now) <= kAvoidThreshold;
    if (!IsAwake(state, now) ||
        !IsUnsetOrOlder(state.last_failed, kRecoveryTime, now) ||
        (!many_fail && !looks_healthy)) {
      continue;
    }
    ++healthy;
    if (!IsUnsetOrOlder(state.last_used, state.max_idle, now)) {
      continue;
    }
    ++idle;
    const bool is_better =
        best == nullptr || state.health.UnhealthyProbability(now) <
                               best->health.UnhealthyProbability(now);
    if (is_better && HasRoom(state, requirements, now)) {
      best = &state;
    }
  }
  // Requests that can be retried may try every idle target.
  const bool none_idle =
      requirements.may_retry || failure_share > kNoIdleFailureShare;
  const auto allowed =
      none_idle ? 0.0 : kMaxIdleShare * static_cast<double>(healthy);
  return static_cast<double>(idle) > allowed ? best : nullptr;
}

auto TargetPool::UpdateFloorTrials(TimePoint now) -> void {
  if (!IsUnsetOrOlder(floor_checked_, kFloorCheckPeriod, now)) {
    return;
  }
  floor_checked_ = now;
  floor_trials_.clear();
  std::size_t sound = 0;
  std::vector<std::pair<double, TargetId>> idle;
  for (const auto& [id, state] : targets_) {
    if (!IsAwake(state, now) || now - state.registered < kNewTargetDelayAny ||
        !IsUnsetOrOlder(state.last_failed, kRecoveryTime, now)) {
      continue;
    }
    ++sound;
    if (IsUnsetOrOlder(state.last_used, kFloorIdleTime, now)) {
      // The service may need the capacity of a target without any request.
      idle.emplace_back(
          state.last_used ? state.health.UnhealthyProbability(now) : 0.0, id);
    }
  }
  const auto used = sound - idle.size();
  const auto required = static_cast<std::size_t>(
      std::ceil(floor_share_ * static_cast<double>(sound)));
  const auto missing = required - std::min(required, used);
  std::sort(idle.begin(), idle.end());
  for (std::size_t i = 0; i < idle.size(); ++i) {
    auto& [unhealthy, id] = idle[i];
    if (i < missing || unhealthy <= kRecoveredThreshold) {
      floor_trials_.push_back({std::move(id), i < missing});
    }
  }
}

auto TargetPool::MayHaveRecovered(double unhealthy,
                                  const TargetRequirements& requirements) const
    -> bool {
  if (requirements.may_retry) {
    return unhealthy <= kRecoveredThreshold;
  }
  return unhealthy <= kAvoidThreshold ||
         (unhealthy <= kRecoveredThresholdOnce && once_trials_ >= 1);
}

auto TargetPool::FindFloorTrial(const TargetRequirements& requirements,
                                double failure_share,
                                TimePoint now) -> TargetState* {
  UpdateFloorTrials(now);
  const bool accepts_any =
      requirements.may_retry || failure_share > kFloorOnceFailureShare;
  for (const auto& trial : floor_trials_) {
    const auto found = targets_.find(trial.target);
    if (found == targets_.end() || !found->second.owned) {
      continue;
    }
    auto& state = found->second;
    const bool has_recovered =
        MayHaveRecovered(state.health.UnhealthyProbability(now), requirements);
    if (!has_recovered && !(trial.is_required && accepts_any)) {
      continue;
    }
    const auto idle_time = has_recovered || requirements.may_retry
                               ? kFloorIdleTime
                               : kFloorIdleTimeOnce;
    if (IsUnsetOrOlder(state.last_used, idle_time, now) &&
        HasRoom(state, requirements, now)) {
      return &state;
    }
  }
  return nullptr;
}

auto TargetPool::FindUntested(const std::vector<Candidate>& candidates,
                              const TargetRequirements& requirements,
                              TimePoint now) -> TargetState* {
  for (const auto& candidate : candidates) {
    const auto& state = *candidate.state;
    const auto age = now - state.registered;
    if (!state.last_used && state.in_flight == 0 &&
        age >= (requirements.may_retry ? kNewTargetDelayRepeatable
                                       : kNewTargetDelayAny)) {
      return candidate.state;
    }
  }
  if (!requirements.may_retry || random_.Unit() >= kExplorationShare) {
    return nullptr;
  }
  TargetState* stalest = nullptr;
  for (const auto& candidate : candidates) {
    auto& state = *candidate.state;
    const auto age = state.health.EvidenceAge(now);
    if (age < kStaleEvidenceAge || std::round(ExpectedLoad(state, now)) > 0 ||
        candidate.unhealthy > kAvoidThreshold) {
      continue;
    }
    if (stalest == nullptr || age > stalest->health.EvidenceAge(now)) {
      stalest = &state;
    }
  }
  return stalest;
}

auto TargetPool::HasRoom(const TargetState& state,
                         const TargetRequirements& requirements,
                         TimePoint now) const -> bool {
  return IsUsable(state) && AllowsRequest(state, requirements, now) &&
         now >= state.blocked_until && !IsTried(requirements, state.spec.id) &&
         state.in_flight < state.spec.slots &&
         // Without news a full target has room again after its run time.
         std::round(ExpectedLoad(state, state.spec.slots - 1.0, now)) <
             state.spec.slots;
}

auto TargetPool::Choose(const TargetRequirements& requirements, TimePoint now)
    -> std::optional<TargetId> {
  auto chosen = ChooseAny(requirements, now);
  if (!chosen && CountOf(Availability::kAvoided, now) > 0) {
    auto relaxed = requirements;
    relaxed.accepts_avoided = true;
    chosen = ChooseAny(relaxed, now);
  }
  return chosen;
}

auto TargetPool::ChooseAny(const TargetRequirements& requirements,
                           TimePoint now) -> std::optional<TargetId> {
  const auto failure_share = FailureShare(requests_, now);
  const bool many_fail = failure_share > kFloorFailureShare;
  is_trial_ = false;
  if (const auto* idle = FindFloorTrial(requirements, failure_share, now)) {
    is_trial_ = idle->health.UnhealthyProbability(now) > kAvoidThreshold;
    if (is_trial_ && !requirements.may_retry) {
      once_trials_ = std::max(once_trials_ - 1, 0.0);
    }
    return idle->spec.id;
  }
  if (many_fail) {
    if (const auto* idle = FindIdleTarget(requirements, failure_share, now)) {
      is_trial_ = idle->health.UnhealthyProbability(now) > kAvoidThreshold;
      return idle->spec.id;
    }
  }
  const auto patience =
      std::clamp(1 - requirements.wait_share / kMaxWaitShare, 0.0, 1.0);
  // Unhealthy targets are needed for the floor only while many requests fail;
  // otherwise they get requests that waited, for their capacity.
  const auto least = many_fail ? MaxUnhealthyProbability(now) : kAvoidThreshold;
  const auto limit = 1 - (1 - least) * patience;
  auto* chosen =
      ChooseOwned(requirements, limit, many_fail, failure_share, now);
  if (chosen == nullptr) {
    chosen = ChooseOther(requirements, limit, now).state;
  } else if (auto* other = FindLessLoaded(*chosen, requirements, now)) {
    chosen = other;
  }
  return chosen == nullptr ? std::nullopt : std::optional(chosen->spec.id);
}

auto TargetPool::ChooseOwned(const TargetRequirements& requirements,
                             double limit,
                             bool many_fail,
                             double failure_share,
                             TimePoint now) -> TargetState* {
  std::vector<Candidate> candidates;
  for (auto* const state : owned_) {
    if (!HasRoom(*state, requirements, now)) {
      continue;
    }
    const auto unhealthy = state->health.UnhealthyProbability(now);
    if (unhealthy <= limit) {
      candidates.push_back({state, unhealthy,
                            EstimateCost(*state, requirements, now),
                            EstimatePlacementCost(*state, requirements, now)});
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  if (auto* untested = FindUntested(candidates, requirements, now)) {
    return untested;
  }
  if (!many_fail) {
    if (auto* idle = FindIdleTarget(requirements, failure_share, now)) {
      return idle;
    }
  }
  const bool spread = FailureShare(outcomes_, now) > kRotationFailureShare;
  const auto is_better = [&](const Candidate& a, const Candidate& b) {
    const bool a_healthy = a.unhealthy < kHealthyThreshold;
    const bool b_healthy = b.unhealthy < kHealthyThreshold;
    if (!a_healthy || !b_healthy) {
      return a.cost < b.cost;
    }
    if (!spread && a.placement_cost != b.placement_cost) {
      return a.placement_cost < b.placement_cost;
    }
    const auto a_sent = a.state->load.RecentlySent(now) / CapacityOf(*a.state);
    const auto b_sent = b.state->load.RecentlySent(now) / CapacityOf(*b.state);
    const auto is_busy = [now](const TargetState& state) {
      return !IsUnsetOrOlder(state.last_used, kWeighedTurnTime, now);
    };
    if (!spread && a_sent != b_sent && is_busy(*a.state) && is_busy(*b.state)) {
      return a_sent < b_sent;
    }
    return a.state->last_used < b.state->last_used;
  };
  return std::min_element(candidates.begin(), candidates.end(), is_better)
      ->state;
}

auto TargetPool::ChooseOther(const TargetRequirements& requirements,
                             double limit,
                             TimePoint now) -> Candidate {
  limit = std::min(
      limit, kMaxOtherUnhealthy + kOtherPatience * requirements.wait_share);
  Candidate best;
  DrawCheapest(near_others_, requirements, limit, now, best);
  if (best.state != nullptr && ExpectedWait(*best.state, now) <= kMaxNearWait) {
    return best;
  }
  DrawCheapest(far_others_, requirements, limit, now, best);
  return best;
}

auto TargetPool::Consider(TargetState& state,
                          const TargetRequirements& requirements,
                          double limit,
                          TimePoint now,
                          Candidate& best) -> bool {
  const auto unhealthy = state.health.UnhealthyProbability(now);
  if (unhealthy > limit || !HasRoom(state, requirements, now)) {
    return false;
  }
  const auto cost = EstimateCost(state, requirements, now);
  if (best.state == nullptr || cost < best.cost) {
    best = {&state, unhealthy, cost,
            EstimatePlacementCost(state, requirements, now)};
  }
  return true;
}

auto TargetPool::DrawCheapest(const OtherTargets& others,
                              const TargetRequirements& requirements,
                              double limit,
                              TimePoint now,
                              Candidate& best) -> void {
  const auto& targets = others.all;
  if (targets.empty()) {
    return;
  }
  const auto most = &others == &near_others_ ? kNearCandidates : kFarCandidates;
  std::size_t found = 0;
  for (std::size_t i = 0; i < kDrawsPerCandidate * most && found < most; ++i) {
    auto& drawn = *targets[random_.Below(targets.size())];
    found += Consider(drawn, requirements, limit, now, best) ? 1 : 0;
  }
  const auto first = random_.Below(targets.size());
  for (std::size_t i = 0; i < targets.size() && found < most; ++i) {
    auto& next = *targets[(first + i) % targets.size()];
    found += Consider(next, requirements, limit, now, best) ? 1 : 0;
  }
  // After the draw, which so decides between targets that cost the same.
  for (auto* const state : others.recent.objects()) {
    Consider(*state, requirements, limit, now, best);
  }
}

auto TargetPool::FindLessLoaded(const TargetState& owned,
                                const TargetRequirements& requirements,
                                TimePoint now) -> TargetState* {
  if (ExpectedWait(owned, now) < kMinComparedWait ||
      owned.health.UnhealthyProbability(now) >= kHealthyThreshold) {
    return nullptr;
  }
  const auto other = ChooseOther(requirements, kMaxOtherUnhealthy, now);
  return other.state != nullptr &&
                 other.cost + kLessLoadedMargin <
                     EstimatePlacementCost(owned, requirements, now)
             ? other.state
             : nullptr;
}

auto TargetPool::OnStarted(const TargetId& target, TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  auto& state = found->second;
  ++state.in_flight;
  state.load.OnSent(now);
  RecordUse(state, now);
  MarkUnreported(state);
}

auto TargetPool::OnEnded(const TargetId& target,
                         std::optional<Evidence> evidence,
                         TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  auto& state = found->second;
  state.in_flight -= std::min<std::uint32_t>(state.in_flight, 1);
  MarkUnreported(state);
  if (evidence) {
    RecordEvidence(state, *evidence, now);
  }
}

auto TargetPool::OnAnswered(const TargetId& target,
                            std::optional<Duration> run_time,
                            const std::optional<LoadNews>& news,
                            bool was_shed) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  auto& state = found->second;
  if (news) {
    const auto others = state.load.OnStated(*news, state.in_flight, was_shed,
                                            UsualOthers(state), load_counters_);
    const auto slots = std::max<std::uint32_t>(1, state.spec.slots);
    others_per_slot_ += kOthersWeight * (others / slots - others_per_slot_);
    // A target that fails answers soon and states a low load.
    if (run_time && !state.owned) {
      OthersLike(state).recent.Add(state);
    }
  }
  if (run_time) {
    state.load.OnAnswered(*run_time);
    run_time_.Add(*run_time);
  }
}

auto TargetPool::MeanNewsAge(TimePoint now) const -> Duration {
  auto sum = Duration::zero();
  std::int64_t count = 0;
  for (const auto& [id, state] : targets_) {
    if (const auto stated_at = state.load.stated_at()) {
      sum += now - *stated_at;
      ++count;
    }
  }
  return count == 0 ? sum : sum / count;
}

auto TargetPool::OnOverdue(const TargetId& target, TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    RecordEvidence(found->second, Evidence::kOverdue, now);
  }
}

auto TargetPool::RecordEvidence(TargetState& state,
                                Evidence evidence,
                                TimePoint now) -> void {
  const bool looked_healthy =
      state.health.UnhealthyProbability(now) < kAvoidThreshold;
  const bool changes_belief =
      evidence != Evidence::kSucceeded && looked_healthy;
  has_unexpected_ =
      has_unexpected_ || evidence != Evidence::kSucceeded || !looked_healthy;
  state.health.Add(evidence, now);
  last_evidence_ = now;
  if (evidence == Evidence::kSucceeded) {
    state.availability.OnSucceeded(now);
  }
  CountOutcome(evidence, state.unreported);
  MarkUnreported(state);
  if (changes_belief) {
    MarkUrgent(state);
  }
  const bool is_failure = evidence == Evidence::kFailed ||
                          evidence == Evidence::kBroken ||
                          evidence == Evidence::kTimedOut;
  if (is_failure) {
    state.last_failed = now;
  }
  if (is_failure || evidence == Evidence::kSucceeded) {
    outcomes_.Add({1, is_failure ? std::uint64_t{1} : 0}, now);
  }
}

auto TargetPool::OnShed(const TargetId& target, TimePoint now) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) {
    found->second.blocked_until = now + kShedPause;
  }
}

auto TargetPool::OnLeaving(const TargetId& target) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end() || found->second.availability.has_left()) {
    return;
  }
  auto& state = found->second;
  state.availability.OnLeaving();
  announced_leaving_[target] = state.spec.started_ms;
  MarkUnreported(state);
  MarkUrgent(state);
}

auto TargetPool::OnRest(const TargetId& target, Duration rest, TimePoint now)
    -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  const auto spread = std::min(Duration(rest / kRestPerSpread), kMaxRestSpread);
  found->second.availability.OnRest(
      rest,
      kRestMargin + Duration(static_cast<std::int64_t>(
                        random_.Unit() * static_cast<double>(spread.count()))),
      now);
  MarkUnreported(found->second);
  MarkUrgent(found->second);
}

auto TargetPool::OnReplaced(const TargetId& target) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end() && !found->second.replaced) {
    found->second.replaced = true;
    MarkUnreported(found->second);
    MarkUrgent(found->second);
  }
}

auto TargetPool::OnRequestEnded(bool served, TimePoint now) -> void {
  requests_.Add({1, served ? std::uint64_t{0} : 1}, now);
  once_trials_ = std::min(once_trials_ + kOnceTrialShare, 1.0);
  ++(served ? unreported_requests_.served : unreported_requests_.unserved);
  has_unreported_ = true;
  has_urgent_ = has_urgent_ || !has_other_owners_;
}

auto TargetPool::OnPeerRequests(const RequestCounts& requests, TimePoint now)
    -> void {
  const std::uint64_t unserved = requests.unserved;
  requests_.Add({requests.served + unserved, unserved}, now);
}

auto TargetPool::TakeUnreportedRequests() -> RequestCounts {
  return std::exchange(unreported_requests_, {});
}

auto TargetPool::OnResumed() -> void {
  for (auto& [id, state] : targets_) {
    state.peers.clear();
  }
}

auto TargetPool::OnPeerReport(const VmId& peer,
                              const std::vector<TargetOutcomes>& outcomes,
                              TimePoint now,
                              std::uint64_t sequence) -> void {
  const bool is_newest = report_order_.Accept(peer, sequence, now);
  const auto repeat = [&](TargetState& state, Evidence evidence,
                          std::uint32_t times) {
    for (std::uint32_t i = 0; i < times; ++i) {
      state.health.Add(evidence, now);
      last_evidence_ = now;
    }
  };
  for (const auto& report : outcomes) {
    const auto found = targets_.find(report.target);
    if (found == targets_.end()) {
      continue;
    }
    auto& state = found->second;
    if (is_newest) {
      state.peers[peer] = {report.in_flight, now};
    }
    state.availability.OnReported(report.avoid, now);
    if (report.in_flight > 0 || report.succeeded > 0 || report.failed > 0) {
      RecordUse(state, now);
    }
    if (report.failed > 0 || report.timed_out > 0) {
      state.last_failed = now;
    }
    repeat(state, Evidence::kSucceeded, report.succeeded);
    repeat(state, Evidence::kOverdue, report.slow);
    repeat(state, Evidence::kTimedOut, report.timed_out);
    repeat(state, Evidence::kFailed, report.failed);
    const std::uint64_t failures = report.failed + report.timed_out;
    outcomes_.Add({failures + report.succeeded, failures}, now);
  }
}

auto TargetPool::RecordUse(TargetState& state, TimePoint now) -> void {
  state.last_used = now;
  const auto span = static_cast<double>((kMaxIdleTime - kMinIdleTime).count());
  state.max_idle =
      kMinIdleTime + Duration(static_cast<std::int64_t>(span * random_.Unit()));
}

auto TargetPool::MarkUnreported(TargetState& state) -> void {
  state.has_unreported = true;
  has_unreported_ = true;
  // The owner of a target has to know the slots that others use. Without
  // owners, all gateways do.
  if (!state.owned || !has_other_owners_) {
    MarkUrgent(state);
  }
}

auto TargetPool::MarkUrgent(TargetState& state) -> void {
  state.is_urgent = true;
  has_urgent_ = true;
}

auto TargetPool::TakeUnreportedOutcomes(TimePoint now, bool only_urgent)
    -> std::vector<TargetOutcomes> {
  std::vector<TargetOutcomes> unreported;
  bool more = false;
  for (auto& [id, state] : targets_) {
    const bool repeats = state.in_flight > 0 &&
                         now - state.last_reported >= kInFlightReportPeriod;
    more = more || state.in_flight > 0;
    if (only_urgent && !state.is_urgent) {
      more = more || state.has_unreported;
      continue;
    }
    if (!state.has_unreported && !repeats) {
      continue;
    }
    state.unreported.target = id;
    state.unreported.in_flight = state.in_flight;
    // Otherwise each gateway would send a request to find out that another
    // process has the address.
    state.unreported.avoid = state.replaced
                                 ? TargetAvailability::kMaxReportedTime
                                 : state.availability.AvoidTime(now);
    unreported.push_back(state.unreported);
    state.unreported = {};
    state.has_unreported = false;
    state.is_urgent = false;
    state.last_reported = now;
  }
  has_unreported_ = more;
  has_urgent_ = false;
  has_unexpected_ = has_unexpected_ && only_urgent;
  return unreported;
}

auto TargetPool::HasUsable() const -> bool {
  return std::any_of(targets_.begin(), targets_.end(),
                     [](const auto& each) { return IsUsable(each.second); });
}

auto TargetPool::OpensAt(const std::vector<TargetId>& tried,
                         TimePoint now) const -> std::optional<TimePoint> {
  std::optional<TimePoint> first;
  for (const auto& [id, state] : targets_) {
    if (!IsUsable(state) ||
        std::find(tried.begin(), tried.end(), id) != tried.end()) {
      continue;
    }
    const auto opens = state.availability.OpensAt(now);
    first = std::min(first.value_or(opens), opens);
    if (*first == now) {
      break;
    }
  }
  return first;
}

auto TargetPool::CountOf(Availability availability, TimePoint now) const
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(targets_.begin(), targets_.end(), [&](const auto& each) {
        return each.second.availability.At(now) == availability;
      }));
}

auto TargetPool::MaxWaitForHealthy(Duration objective) -> Duration {
  return Duration(static_cast<std::int64_t>(
      kMaxWaitShare * static_cast<double>(objective.count())));
}

auto TargetPool::CountOpen(TimePoint now) const -> OpenTargets {
  const auto limit = MaxUnhealthyProbability(now);
  OpenTargets counts;
  for (const auto& [id, state] : targets_) {
    if (!IsAwake(state, now)) {
      continue;
    }
    ++counts.open;
    counts.open_slots += state.spec.slots;
    if (state.health.UnhealthyProbability(now) <= limit) {
      ++counts.usable;
      counts.usable_slots += state.spec.slots;
    }
  }
  return counts;
}

auto TargetPool::UnhealthyProbability(const TargetId& target,
                                      TimePoint now) const -> double {
  const auto found = targets_.find(target);
  return found == targets_.end()
             ? 1.0
             : found->second.health.UnhealthyProbability(now);
}

}  // namespace flamingoyoke
