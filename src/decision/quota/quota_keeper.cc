#include "decision/quota/quota_keeper.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "decision/quota/quota_timing.h"

namespace flamingoyoke {
namespace {

// A gateway that asked within this time stated its present demand.
constexpr Duration kFreshDemandAge = std::chrono::milliseconds(150);
constexpr Duration kDropPeriod = std::chrono::seconds(1);
// Bounds memory; gateways beyond get no lease.
constexpr std::size_t kMaxGateways = 10000;

auto SavedOf(const QuotaLimit& limit) -> double {
  // A bucket of less than one request would never grant one.
  return std::max(limit.burst, 1.0);
}

auto AllSavedOf(const QuotaLimit& limit) -> double {
  return SavedOf(limit) + limit.rate * ToSeconds(kSavedTime);
}

}  // namespace

auto QuotaKeeper::OnEvent(const QuotaKeeperEvent& event, TimePoint now)
    -> std::vector<SendToPeer> {
  now_ = now;
  actions_.clear();
  if (now_ - last_drop_ >= kDropPeriod) {
    DropIdle();
  }
  std::visit([this](const auto& typed) { On(typed); }, event);
  return std::exchange(actions_, {});
}

auto QuotaKeeper::On(const QuotaScopeChanged& event) -> void {
  if (event.scope.keepers != scope_.keepers) {
    previous_settled_ = KnowsLeases();
    previous_keepers_ = scope_.keepers;
    keepers_since_ = now_;
    keepers_hash_ = KeepersHash(event.scope.keepers);
    has_started_together_ = event.scope.has_started_together;
  }
  scope_ = event.scope;
  CheckTold();
  CutLeases();
}

auto QuotaKeeper::On(const QuotaLimitsChanged& event) -> void {
  limits_ = event.limits;
  CutLeases();
}

auto QuotaKeeper::CutLeases() -> void {
  for (auto& [team, state] : teams_) {
    // Whether this VM is still the team's keeper does not matter: gateways keep
    // its leases until another one answers.
    const auto rate = limits_.Find(team).rate * scope_.share;
    Refill(team, state, LimitOf(team));
    if (rate < state.rate) {
      const auto factor = rate / state.rate;
      for (auto& [gateway, lease] : state.leases) {
        lease.rate *= factor;
        lease.adopted *= factor;
      }
    }
    state.rate = rate;
  }
}

auto QuotaKeeper::On(const QuotaRequestReceived& event) -> void {
  if (!IsNewer(event)) {
    return;
  }
  if (event.request.told_keepers != 0) {
    gateways_[event.gateway].told_keepers = event.request.told_keepers;
    CheckTold();
  }
  Recalls recalls;
  QuotaGrant grant{event.request.sequence, kQuotaLeaseTime, {}};
  for (const auto& demand : event.request.teams) {
    grant.teams.push_back(Grant(event.gateway, demand, recalls));
  }
  actions_.push_back({event.gateway, std::move(grant)});
  for (auto& [gateway, teams] : recalls) {
    actions_.push_back({gateway, QuotaRecall{std::move(teams)}});
  }
}

auto QuotaKeeper::IsNewer(const QuotaRequestReceived& event) -> bool {
  const auto known = gateways_.find(event.gateway);
  if (known == gateways_.end()) {
    if (gateways_.size() >= kMaxGateways) {
      return false;
    }
    gateways_.emplace(event.gateway,
                      GatewayOrder{event.incarnation, event.request.sequence});
    return true;
  }
  auto& order = known->second;
  if (event.incarnation < order.incarnation ||
      (event.incarnation == order.incarnation &&
       event.request.sequence <= order.sequence)) {
    return false;
  }
  if (event.incarnation > order.incarnation) {
    // The process that held the leases has ended.
    for (auto& [team, state] : teams_) {
      Refill(team, state, LimitOf(team));
      state.leases.erase(event.gateway);
    }
  }
  const auto told_keepers =
      event.incarnation == order.incarnation ? order.told_keepers : 0;
  order = {event.incarnation, event.request.sequence, told_keepers};
  return true;
}

auto QuotaKeeper::Grant(const VmId& gateway,
                        const QuotaDemand& demand,
                        Recalls& recalls) -> QuotaLease {
  QuotaLease answer{demand.team, 0, 0, 0, 0};
  const auto limit = LimitOf(demand.team);
  auto* state = limit.rate > 0 ? FindOrAdd(demand.team, limit) : nullptr;
  if (state == nullptr) {
    return answer;
  }
  Refill(demand.team, *state, limit);
  state->last_used = now_;
  const auto others = SumOthers(*state, gateway);
  const auto previous = state->leases.find(gateway);
  const bool is_own = IsKeeperOf(demand.team, scope_.keepers);
  double adopted = 0;
  if (previous != state->leases.end()) {
    adopted = previous->second.adopted;
  } else if (is_own) {
    adopted = std::min(demand.held, limit.rate);
  }
  const auto leasable = limit.rate * kLeasedShare;
  double available = std::max(0.0, leasable - others.rate);
  if (!IsSettled(demand.team)) {
    const auto fresh = kSettleShare * limit.rate - others.fresh;
    available = std::min(available, adopted + std::max(0.0, fresh));
  }
  const auto total = others.demand + demand.demand;
  const auto fair =
      total > leasable ? leasable * demand.demand / total : demand.demand;
  auto rate = std::min(available, fair);
  // Leaves a half of what may be saved to the bucket.
  const auto room = AllSavedOf(limit) / 2 - others.capacity;
  const auto capacity = std::floor(
      std::min(kMinLeaseSaved + rate * ToSeconds(kLeaseSavedTime), room));
  if (rate < kMinLeaseRate || capacity < 1) {
    rate = 0;
  }
  const auto saved = demand.demand > 0 ? std::max(capacity, 0.0) : 0;
  // Fills what may be saved, too, so that the next requests cause no message.
  auto granted = demand.waiting > 0 ? demand.waiting + saved : 0;
  if (total > limit.rate) {
    // Leaves a part for the other gateways that ask. One that has just got its
    // first requests knows no rate yet.
    const auto weight = demand.demand + demand.waiting;
    const auto part = state->bucket * weight / (total + demand.waiting);
    granted = std::min(granted, std::max(1.0, std::floor(part)));
  }
  granted = std::min(granted, std::floor(state->bucket));
  state->bucket -= granted;
  if (demand.demand > 0) {
    state->leases[gateway] = {rate,  std::min(adopted, rate),
                              saved, demand.demand,
                              now_,  now_ + kQuotaLeaseTime};
  } else {
    state->leases.erase(gateway);
  }
  state->bucket = std::min(state->bucket, BucketSize(*state, limit));
  answer.rate = rate;
  answer.capacity = static_cast<std::uint32_t>(saved);
  answer.tokens = static_cast<std::uint32_t>(granted);
  answer.load = total * kGrantedShare / limit.rate;
  ++granted_;
  const bool is_short = demand.demand >= kMinLeaseRate && rate < demand.demand;
  if (is_short || granted < demand.waiting) {
    ++short_;
    Recall(*state, demand.team, gateway, recalls);
  }
  return answer;
}

auto QuotaKeeper::FindOrAdd(const TeamId& team, const QuotaLimit& limit)
    -> TeamState* {
  const auto found = teams_.find(team);
  if (found != teams_.end()) {
    return &found->second;
  }
  if (teams_.size() >= kMaxTrackedTeams) {
    return nullptr;
  }
  TeamState state;
  state.refilled = now_;
  state.rate = limits_.Find(team).rate * scope_.share;
  state.bucket =
      IsSettled(team)
          ? SavedOf(limit)
          : std::min(SavedOf(limit),
                     kSettleShare * limit.rate *
                         ToSeconds(std::min<Duration>(now_ - keepers_since_,
                                                      kQuotaSettleTime)));
  return &teams_.emplace(team, std::move(state)).first->second;
}

auto QuotaKeeper::Refill(const TeamId& team,
                         TeamState& state,
                         const QuotaLimit& limit) -> void {
  double leased = 0;
  double fresh = 0;
  for (const auto& [gateway, lease] : state.leases) {
    leased += lease.rate;
    fresh += lease.rate - lease.adopted;
  }
  auto rate = limit.rate - leased;
  if (!IsSettled(team)) {
    rate = std::min(rate, kSettleShare * limit.rate - fresh);
  }
  rate = std::max(rate, 0.0);
  state.bucket += rate * ToSeconds(now_ - state.refilled);
  state.refilled = now_;
  // After the refill, because an expired lease counted until now.
  std::erase_if(state.leases,
                [&](const auto& each) { return each.second.until <= now_; });
  state.bucket = std::min(state.bucket, BucketSize(state, limit));
}

auto QuotaKeeper::Recall(TeamState& state,
                         const TeamId& team,
                         const VmId& gateway,
                         Recalls& recalls) -> void {
  if (now_ - state.last_recall < kRecallPeriod) {
    return;
  }
  state.last_recall = now_;
  for (const auto& [holder, lease] : state.leases) {
    auto& teams = recalls[holder];
    if (holder != gateway && now_ - lease.asked >= kFreshDemandAge &&
        teams.size() < kMaxQuotaTeamsPerMessage) {
      teams.push_back(team);
    }
    if (teams.empty()) {
      recalls.erase(holder);
    }
  }
}

auto QuotaKeeper::DropIdle() -> void {
  last_drop_ = now_;
  for (auto each = teams_.begin(); each != teams_.end();) {
    auto& [team, state] = *each;
    const auto limit = LimitOf(team);
    Refill(team, state, limit);
    const bool is_idle = state.leases.empty() &&
                         now_ - state.last_used >= kQuotaIdleTime &&
                         state.bucket >= std::floor(SavedOf(limit));
    each = is_idle ? teams_.erase(each) : std::next(each);
  }
  // The sequence of a gateway that is gone matters only while its messages may
  // still arrive and its leases hold; both are forgotten in time.
  if (gateways_.size() >= kMaxGateways) {
    gateways_.clear();
  }
}

auto QuotaKeeper::LimitOf(const TeamId& team) const -> QuotaLimit {
  auto limit = limits_.Find(team);
  auto share = scope_.share;
  if (!IsKeeperOf(team, scope_.keepers)) {
    share *= kSubstituteShare;
  }
  return {limit.rate * share * kGrantedShare, limit.burst * share};
}

auto QuotaKeeper::IsKeeperOf(const TeamId& team,
                             const std::vector<VmId>& keepers) const -> bool {
  const auto ordered = KeepersOfTeam(team, keepers);
  return !ordered.empty() && ordered.front() == scope_.self;
}

auto QuotaKeeper::IsSettled(const TeamId& team) const -> bool {
  return KnowsLeases() ||
         (previous_settled_ && IsKeeperOf(team, previous_keepers_));
}

auto QuotaKeeper::KnowsLeases() const -> bool {
  const bool knows_soon = are_all_told_ || has_started_together_;
  return now_ - keepers_since_ >=
         (knows_soon ? kQuotaToldTime : kQuotaSettleTime);
}

auto QuotaKeeper::CheckTold() -> void {
  are_all_told_ =
      !scope_.known_gateways.empty() &&
      std::all_of(scope_.known_gateways.begin(), scope_.known_gateways.end(),
                  [this](const VmId& gateway) {
                    const auto known = gateways_.find(gateway);
                    return known != gateways_.end() &&
                           known->second.told_keepers == keepers_hash_;
                  });
}

auto QuotaKeeper::SumOthers(const TeamState& state, const VmId& gateway)
    -> Others {
  Others sums;
  for (const auto& [holder, lease] : state.leases) {
    if (holder != gateway) {
      sums.rate += lease.rate;
      sums.fresh += lease.rate - lease.adopted;
      sums.capacity += lease.capacity;
      sums.demand += lease.demand;
    }
  }
  return sums;
}

auto QuotaKeeper::BucketSize(const TeamState& state, const QuotaLimit& limit)
    -> double {
  double capacity = 0;
  for (const auto& [gateway, lease] : state.leases) {
    capacity += lease.capacity;
  }
  return std::clamp(AllSavedOf(limit) - capacity, 0.0, SavedOf(limit));
}

auto QuotaKeeper::LeasedRate(const TeamId& team, TimePoint now) const
    -> double {
  const auto found = teams_.find(team);
  double rate = 0;
  if (found != teams_.end()) {
    for (const auto& [gateway, lease] : found->second.leases) {
      rate += lease.until > now ? lease.rate : 0;
    }
  }
  return rate;
}

}  // namespace flamingoyoke
