#include "decision/quota/gateway_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/quota/quota_timing.h"

namespace flamingoyoke {
namespace {

// Period of checks while requests wait, and of renewals and returns.
constexpr Duration kBusyCheckPeriod = std::chrono::milliseconds(10);
constexpr Duration kCheckPeriod = std::chrono::milliseconds(500);
// A lease is returned in part when the demand falls below this share of it.
constexpr double kReturnShare = 0.5;
// Leases that are due soon are renewed with those that are due.
constexpr Duration kRenewTogether = std::chrono::seconds(3);
// Consecutive short answers after which the team counts as limited. A lease
// whose demand is fresh is recalled 150 ms later, so these take longer.
constexpr std::uint32_t kScarceAnswers = 5;
// Longest time until the keeper is asked again after a short answer to a team
// that is below its limit.
constexpr std::uint32_t kMaxRecallTimes = 3;
// Time at the leased rate that requests wait for while the team is limited.
constexpr Duration kMaxLimitedWait = std::chrono::milliseconds(50);
constexpr Duration kLogPeriod = std::chrono::seconds(10);

}  // namespace

auto GatewayQuotas::OnEvent(const GatewayQuotaEvent& event, TimePoint now)
    -> std::vector<GatewayQuotaAction> {
  now_ = now;
  actions_.clear();
  std::visit([this](const auto& typed) { On(typed); }, event);
  ScheduleTimer();
  return std::exchange(actions_, {});
}

auto GatewayQuotas::On(const QuotaScopeChanged& event) -> void {
  const auto share = scope_.share;
  const bool new_keepers = event.scope.keepers != scope_.keepers;
  for (auto& [team, state] : teams_) {
    Refill(state);
  }
  scope_ = event.scope;
  if (scope_.share < share) {
    CutLeases(scope_.share / share);
  }
  if (!new_keepers) {
    return;
  }
  keepers_.clear();
  untold_.clear();
  for (const auto& keeper : scope_.keepers) {
    untold_[keeper] = 0;
  }
  tell_at_ = now_ + kQuotaBatchDelay;
  tell_until_ = now_ + kQuotaSettleTime;
  for (auto& [team, state] : teams_) {
    state.keepers = KeepersOfTeam(team, scope_.keepers);
    const auto* keeper = KeeperOf(state);
    if (state.pending &&
        (keeper == nullptr || state.pending->keeper != *keeper)) {
      // The new keeper would not know what the previous one grants now.
      state.pending.reset();
      if (!state.waiting.empty()) {
        AskSoon(team);
      }
    }
    if (state.rate > 0 && keeper != nullptr && *keeper != state.lessor) {
      // The new keeper has to know the leases of the previous one.
      AskSoon(team);
    }
  }
}

auto GatewayQuotas::On(const QuotaLimitsChanged& event) -> void {
  const bool had_any = limits_.LimitsAny();
  limits_ = event.limits;
  if (!had_any) {
    tell_at_ = now_ + kQuotaBatchDelay;
  }
  for (auto& [team, state] : teams_) {
    Refill(state);
    const auto limit = limits_.Find(team);
    if (limit.rate < state.limit.rate) {
      const auto factor = limit.rate / state.limit.rate;
      state.rate *= factor;
      state.capacity = std::floor(state.capacity * factor);
      state.tokens = std::min(state.tokens, state.capacity);
    }
    state.limit = limit;
    state.unasked = std::min(state.unasked, UnaskedSize(state));
    if (limit.rate <= 0) {
      // Not limited any more.
      while (!state.waiting.empty()) {
        actions_.emplace_back(AdmitRequest{state.waiting.front().request});
        state.waiting.pop_front();
        --waiting_;
      }
    }
  }
}

auto GatewayQuotas::CutLeases(double factor) -> void {
  for (auto& [team, state] : teams_) {
    state.rate *= factor;
    state.capacity = std::floor(state.capacity * factor);
    state.tokens = std::min(state.tokens, state.capacity);
  }
}

auto GatewayQuotas::On(const QuotaRequestArrived& event) -> void {
  auto* state = FindOrAdd(event.team);
  if (state == nullptr) {
    ++counters_.refused;
    actions_.emplace_back(RefuseOverQuota{event.request, kMaxQuotaRetry});
    return;
  }
  if (state->limit.rate <= 0) {
    actions_.emplace_back(AdmitRequest{event.request});
    return;
  }
  Refill(*state);
  state->demand.Add(now_);
  if (state->waiting.empty() && TakeToken(*state)) {
    ++counters_.admitted;
    actions_.emplace_back(AdmitRequest{event.request});
    return;
  }
  const bool is_limited = IsLimited(*state);
  const bool may_ask =
      KeeperOf(*state) != nullptr && !state->pending && now_ >= state->next_ask;
  const auto limited_queue =
      std::max(1.0, state->rate * ToSeconds(kMaxLimitedWait));
  const bool has_place =
      static_cast<double>(state->waiting.size()) < limited_queue &&
      (state->rate > 0 || state->pending);
  const bool may_wait =
      may_ask || (is_limited ? has_place : KeeperOf(*state) != nullptr);
  if (may_ask) {
    AskSoon(event.team);
  }
  if (!may_wait || waiting_ >= kMaxQuotaWaiting) {
    Refuse(event.team, *state, event.request);
    return;
  }
  // A request is not held for longer than half of the time that it has.
  const auto until =
      now_ + std::min(kMaxQuotaWait, (event.deadline - now_) / 2);
  state->waiting.push_back({event.request, until});
  ++waiting_;
  ++counters_.waited;
  busy_.insert(event.team);
}

auto GatewayQuotas::On(const QuotaRequestCancelled& event) -> void {
  const auto found = teams_.find(event.team);
  if (found == teams_.end()) {
    return;
  }
  waiting_ -= std::erase_if(found->second.waiting, [&](const Waiting& each) {
    return each.request == event.request;
  });
}

auto GatewayQuotas::On(const QuotaGrantReceived& event) -> void {
  keepers_[event.keeper] = {};
  const auto untold = untold_.find(event.keeper);
  if (untold != untold_.end() && untold->second != 0 &&
      untold->second <= event.grant.sequence) {
    untold_.erase(untold);
  }
  for (const auto& lease : event.grant.teams) {
    const auto found = teams_.find(lease.team);
    if (found == teams_.end()) {
      continue;
    }
    auto& state = found->second;
    // The keeper may have given the part of an older answer to another gateway
    // after it got a newer request.
    if (!state.pending || state.pending->keeper != event.keeper ||
        state.pending->sequence != event.grant.sequence) {
      continue;
    }
    Refill(state);
    state.lessor = event.keeper;
    Apply(state, lease, event.grant.duration);
    ServeWaiting(lease.team, state);
    state.tokens = std::min(state.tokens, state.capacity);
    if (state.waiting.empty()) {
      state.short_answers = 0;
      // Requests beyond a lease that is too small share messages.
      const bool is_small = lease.rate + UnaskedRate(state) <
                            state.demand.Rate(now_) * kReturnShare;
      state.next_ask = is_small ? now_ + kRecallTime : now_;
      continue;
    }
    ++state.short_answers;
    if (!IsLimited(state)) {
      // Recalls will be answered soon, and the bucket refills.
      state.next_ask =
          now_ + kRecallTime * std::min(state.short_answers, kMaxRecallTimes);
      continue;
    }
    const auto spread = 1 + random_.Unit() / 2;
    state.next_ask =
        now_ + std::chrono::duration_cast<Duration>(kScarcePeriod * spread);
    RefuseExcess(lease.team, state);
  }
}

auto GatewayQuotas::Apply(TeamState& state,
                          const QuotaLease& lease,
                          Duration duration) -> void {
  ++counters_.granted;
  const auto sent = state.pending->sent;
  state.pending.reset();
  state.load = lease.load;
  // The limit may have been lowered since the keeper answered.
  state.rate = std::min(lease.rate, state.limit.rate);
  state.capacity = lease.capacity;
  state.lease_since = sent;
  state.lease_until = sent + duration;
  state.tokens = std::min(state.tokens, state.capacity) + lease.tokens;
}

auto GatewayQuotas::On(const QuotaRecallReceived& event) -> void {
  for (const auto& team : event.recall.teams) {
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
      continue;
    }
    auto& state = found->second;
    if (state.lessor == event.keeper && !state.pending) {
      state.is_recalled = true;
      AskSoon(team);
    }
  }
}

auto GatewayQuotas::On(const QuotaTimer&) -> void {
  scheduled_wake_.reset();
  for (auto team = busy_.begin(); team != busy_.end();) {
    const auto found = teams_.find(*team);
    if (found == teams_.end()) {
      team = busy_.erase(team);
      continue;
    }
    auto& state = found->second;
    Refill(state);
    CheckPending(*team, state);
    ServeWaiting(*team, state);
    if (!state.waiting.empty() && !state.pending && now_ >= state.next_ask) {
      AskSoon(*team);
    }
    if (state.waiting.empty() && !state.pending) {
      team = busy_.erase(team);
    } else {
      ++team;
    }
  }
  if (now_ >= next_check_) {
    CheckTeams();
  }
  if (!untold_.empty() && now_ >= tell_at_) {
    TellKeepers();
  } else if (send_at_ && now_ >= *send_at_) {
    SendRequests();
  }
}

auto GatewayQuotas::FindOrAdd(const TeamId& team) -> TeamState* {
  const auto found = teams_.find(team);
  if (found != teams_.end()) {
    return &found->second;
  }
  if (teams_.size() >= kMaxTrackedTeams) {
    return nullptr;
  }
  auto& state = teams_.emplace(team, TeamState(now_)).first->second;
  state.limit = limits_.Find(team);
  state.keepers = KeepersOfTeam(team, scope_.keepers);
  state.unasked = UnaskedSize(state);
  return &state;
}

auto GatewayQuotas::Refill(TeamState& state) -> void {
  const auto elapsed = ToSeconds(now_ - state.refilled);
  state.unasked = std::min(UnaskedSize(state),
                           state.unasked + elapsed * UnaskedRate(state));
  if (now_ >= state.lease_until) {
    // The keeper may have leased this part to another gateway.
    state.rate = 0;
    state.capacity = 0;
    state.tokens = 0;
  } else {
    state.tokens =
        std::min(state.capacity, state.tokens + elapsed * state.rate);
  }
  state.refilled = now_;
}

auto GatewayQuotas::TakeToken(TeamState& state) -> bool {
  // The lease is used first, because the unasked part covers its renewal.
  auto& source = state.tokens >= 1 ? state.tokens : state.unasked;
  if (source < 1) {
    return false;
  }
  source -= 1;
  return true;
}

auto GatewayQuotas::ServeWaiting(const TeamId& team, TeamState& state) -> void {
  while (!state.waiting.empty()) {
    const auto next = state.waiting.front();
    if (TakeToken(state)) {
      ++counters_.admitted;
      actions_.emplace_back(AdmitRequest{next.request});
    } else if (now_ >= next.until) {
      Refuse(team, state, next.request);
    } else {
      return;
    }
    state.waiting.pop_front();
    --waiting_;
  }
}

auto GatewayQuotas::RefuseExcess(const TeamId& team, TeamState& state) -> void {
  const auto most = static_cast<std::size_t>(
      std::max(0.0, state.rate * ToSeconds(kMaxLimitedWait)));
  while (state.waiting.size() > most) {
    Refuse(team, state, state.waiting.back().request);
    state.waiting.pop_back();
    --waiting_;
  }
}

auto GatewayQuotas::Refuse(const TeamId& team,
                           TeamState& state,
                           RequestId request) -> void {
  ++counters_.refused;
  ++state.refused;
  actions_.emplace_back(RefuseOverQuota{request, RetryAfter(state)});
  if (state.last_logged && now_ - *state.last_logged < kLogPeriod) {
    return;
  }
  state.last_logged = now_;
  actions_.emplace_back(TeamLimited{team, RefusalReason(state),
                                    std::exchange(state.refused, 0),
                                    state.limit, state.rate, state.load});
}

auto GatewayQuotas::RefusalReason(const TeamState& state) const
    -> QuotaRefusal {
  if (KeeperOf(state) == nullptr || state.short_answers == 0) {
    return QuotaRefusal::kKeeperSilent;
  }
  return state.rate > 0 ? QuotaRefusal::kOverLease : QuotaRefusal::kKeeperEmpty;
}

auto GatewayQuotas::IsLimited(const TeamState& state) -> bool {
  return state.short_answers >= kScarceAnswers && state.load > 1;
}

auto GatewayQuotas::RetryAfter(const TeamState& state) -> Duration {
  // One second of demand above the limit takes this long to run at the limit.
  const auto excess = std::max(state.load - 1, 1 / state.limit.rate);
  const auto base =
      std::clamp(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(std::min(excess, 10.0))),
                 kMinQuotaRetry, kMaxQuotaRetry / 2);
  return base + std::chrono::duration_cast<Duration>(base * random_.Unit());
}

auto GatewayQuotas::AskSoon(const TeamId& team) -> void {
  due_.insert(team);
  if (!send_at_) {
    send_at_ = now_ + kQuotaBatchDelay;
  }
}

auto GatewayQuotas::SendRequests() -> void {
  send_at_.reset();
  std::map<VmId, std::vector<QuotaRequest>> messages;
  for (const auto& team : due_) {
    const auto found = teams_.find(team);
    const auto* keeper =
        found == teams_.end() ? nullptr : KeeperOf(found->second);
    if (keeper == nullptr) {
      continue;
    }
    auto& requests = messages[*keeper];
    if (requests.empty() ||
        requests.back().teams.size() >= kMaxQuotaTeamsPerMessage) {
      requests.push_back({++last_sequence_, {}});
    }
    auto& state = found->second;
    auto demand = MakeDemand(team, state, *keeper);
    state.is_recalled = false;
    state.pending = Pending{*keeper, requests.back().sequence, now_};
    requests.back().teams.push_back(std::move(demand));
    busy_.insert(team);
    ++counters_.asked;
  }
  due_.clear();
  if (is_telling_) {
    AddStatements(messages);
  }
  for (auto& [keeper, requests] : messages) {
    auto& silence = keepers_[keeper].unanswered_since;
    silence = silence.value_or(now_);
    for (auto& request : requests) {
      actions_.emplace_back(SendToPeer{keeper, std::move(request)});
    }
  }
}

auto GatewayQuotas::TellKeepers() -> void {
  if (now_ >= tell_until_) {
    untold_.clear();
  }
  for (const auto& [team, state] : teams_) {
    const auto* keeper = KeeperOf(state);
    if (state.rate > 0 && keeper != nullptr && *keeper != state.lessor) {
      due_.insert(team);
    }
  }
  tell_at_ = now_ + kQuotaTellPeriod;
  is_telling_ = limits_.LimitsAny();
  SendRequests();
  is_telling_ = false;
}

auto GatewayQuotas::AddStatements(
    std::map<VmId, std::vector<QuotaRequest>>& messages) -> void {
  for (auto& [keeper, told_by] : untold_) {
    auto& requests = messages[keeper];
    if (requests.size() > 1) {
      // One of them may be lost. What is answered by the next time need not be
      // told again.
      continue;
    }
    if (requests.empty()) {
      requests.push_back({++last_sequence_, {}});
    }
    told_by = requests.back().sequence;
    requests.back().told_keepers = KeepersHash(scope_.keepers);
  }
}

auto GatewayQuotas::MakeDemand(const TeamId& team,
                               TeamState& state,
                               const VmId& keeper) -> QuotaDemand {
  Refill(state);
  QuotaDemand demand{team, WantedRate(state), 0,
                     static_cast<std::uint32_t>(state.waiting.size())};
  if (state.lessor != keeper) {
    demand.held = state.rate;
    return demand;
  }
  // The keeper may lease the rest to another gateway as soon as it reads this.
  state.rate = std::min(state.rate, demand.demand);
  if (demand.demand <= 0) {
    state.capacity = 0;
    state.tokens = 0;
  }
  return demand;
}

auto GatewayQuotas::WantedRate(const TeamState& state) const -> double {
  const auto rate = state.is_recalled ? state.demand.RateIfNeeded(now_)
                                      : state.demand.Rate(now_);
  return std::max(0.0, rate * kDemandMargin - UnaskedRate(state));
}

auto GatewayQuotas::KeeperOf(const TeamState& state) const -> const VmId* {
  for (const auto& keeper : state.keepers) {
    const auto known = keepers_.find(keeper);
    if (known == keepers_.end() || now_ >= known->second.silent_until) {
      return &keeper;
    }
    if (state.rate > 0 && keeper == state.lessor) {
      // A substitute would replace the lease with a smaller one.
      return nullptr;
    }
  }
  return nullptr;
}

auto GatewayQuotas::CheckPending(const TeamId& team, TeamState& state) -> void {
  if (!state.pending || now_ - state.pending->sent < kQuotaAnswerTimeout) {
    return;
  }
  ++counters_.unanswered;
  auto& keeper = keepers_[state.pending->keeper];
  if (keeper.unanswered_since &&
      now_ - *keeper.unanswered_since >= kKeeperSilence) {
    keeper.silent_until = now_ + kKeeperRetryPeriod;
    keeper.unanswered_since.reset();
  }
  state.pending.reset();
  if (!state.waiting.empty()) {
    AskSoon(team);
  }
}

auto GatewayQuotas::CheckTeams() -> void {
  next_check_ = now_ + kCheckPeriod;
  bool is_due = false;
  std::vector<TeamId> soon;
  for (auto each = teams_.begin(); each != teams_.end();) {
    auto& [team, state] = *each;
    Refill(state);
    const bool is_idle = state.waiting.empty() && !state.pending &&
                         state.rate <= 0 &&
                         now_ - state.demand.last() >= kQuotaIdleTime &&
                         state.unasked >= UnaskedSize(state);
    if (is_idle) {
      each = teams_.erase(each);
      continue;
    }
    if (CheckLease(state)) {
      is_due = true;
      AskSoon(team);
    } else if (state.rate > 0 && !state.pending &&
               now_ - state.lease_since >= kQuotaRenewAge - kRenewTogether &&
               WantedRate(state) > 0) {
      soon.push_back(team);
    }
    ++each;
  }
  for (const auto& team : soon) {
    if (is_due) {
      AskSoon(team);
    }
  }
}

auto GatewayQuotas::CheckLease(const TeamState& state) const -> bool {
  if (state.rate <= 0 || state.pending || now_ < state.next_ask) {
    return false;
  }
  const auto wanted = WantedRate(state);
  const bool is_old = now_ - state.lease_since >= kQuotaRenewAge;
  // An unneeded lease just expires, unless another gateway may need it soon.
  const bool is_large =
      wanted < state.rate * kReturnShare &&
      state.rate - wanted > kUnaskedShare * state.limit.rate &&
      now_ - state.lease_since >= kScarcePeriod;
  return (is_old && wanted > 0) || is_large;
}

auto GatewayQuotas::ScheduleTimer() -> void {
  std::optional<TimePoint> wake;
  const auto consider = [&](TimePoint at) {
    wake = wake ? std::min(*wake, at) : at;
  };
  if (send_at_) {
    consider(*send_at_);
  }
  if (!untold_.empty()) {
    consider(std::max(tell_at_, now_));
  }
  if (!busy_.empty()) {
    consider(now_ + kBusyCheckPeriod);
  }
  if (!teams_.empty()) {
    consider(std::max(next_check_, now_));
  }
  if (wake && (!scheduled_wake_ || *wake < *scheduled_wake_ ||
               *scheduled_wake_ < now_)) {
    scheduled_wake_ = wake;
    actions_.emplace_back(WakeQuotaAt{*wake});
  }
}

auto GatewayQuotas::UnaskedRate(const TeamState& state) const -> double {
  return (kUnaskedShare * state.limit.rate + kUnaskedRate) * scope_.share /
         static_cast<double>(scope_.gateways);
}

auto GatewayQuotas::UnaskedSize(const TeamState& state) const -> double {
  return (kUnaskedShare * state.limit.burst + kUnaskedBurst) * scope_.share /
         static_cast<double>(scope_.gateways);
}

}  // namespace flamingoyoke
