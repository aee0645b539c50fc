#include "bench/load_policies.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// First rate of a target, requests per second, and the steps of its correction.
constexpr double kFirstRate = 1;
constexpr double kRateStep = 0.1;
constexpr double kRateCut = 0.8;
constexpr double kMinRate = 0.1;
constexpr double kMaxTokens = 2;

auto DrawOne(const PolicyView& view) -> std::size_t {
  return view.random.Below(view.targets.size());
}

auto ShareInUse(const KnownTarget& target, double others) -> double {
  return (target.own + others + 1) / target.slots;
}

// Returns the drawn target with the lowest value.
template <typename Value>
auto BestOfDrawn(const PolicyView& view, std::size_t drawn, Value value)
    -> std::size_t {
  auto best = DrawOne(view);
  for (std::size_t i = 1; i < drawn; ++i) {
    const auto other = DrawOne(view);
    if (value(view.targets[other]) < value(view.targets[best])) {
      best = other;
    }
  }
  return best;
}

}  // namespace

auto RandomPolicy::Choose(const PolicyView& view)
    -> std::optional<std::size_t> {
  return DrawOne(view);
}

auto TwoChoicesPolicy::Choose(const PolicyView& view)
    -> std::optional<std::size_t> {
  return BestOfDrawn(view, 2, [](const KnownTarget& target) {
    const auto load = target.stated.value_or(StatedLoad{});
    return static_cast<double>(load.running + load.waiting) / target.slots;
  });
}

auto AgedEstimatePolicy::Choose(const PolicyView& view)
    -> std::optional<std::size_t> {
  return BestOfDrawn(view, drawn, [&](const KnownTarget& target) {
    return ShareInUse(target,
                      target.estimate.Others(view.now, 0, target.slots));
  });
}

auto OwnRatesPolicy::Choose(const PolicyView& view)
    -> std::optional<std::size_t> {
  if (allotments.empty()) {
    allotments.resize(view.targets.size(),
                      {kFirstRate, view.random.Unit(), view.now});
  }
  std::size_t best = DrawOne(view);
  for (std::size_t i = 0; i < allotments.size(); ++i) {
    auto& each = allotments[i];
    each.tokens =
        std::min(each.tokens + each.rate * ToSeconds(view.now - each.refilled),
                 kMaxTokens);
    each.refilled = view.now;
    if (each.tokens > allotments[best].tokens) {
      best = i;
    }
  }
  allotments[best].tokens -= 1;
  return best;
}

auto OwnRatesPolicy::OnAnswered(std::size_t target,
                                AttemptResult result,
                                const PolicyView& view) -> void {
  const auto& stated = view.targets[target].stated;
  const bool is_full =
      result == AttemptResult::kShed || (stated && stated->waiting > 0);
  auto& rate = allotments[target].rate;
  rate = is_full ? std::max(rate * kRateCut, kMinRate) : rate + kRateStep;
}

auto IdleQueuesPolicy::Choose(const PolicyView& view)
    -> std::optional<std::size_t> {
  if (idle.empty()) {
    return DrawOne(view);
  }
  const auto first = idle.front();
  idle.erase(idle.begin());
  return first;
}

auto IdleQueuesPolicy::OnAnswered(std::size_t target,
                                  AttemptResult result,
                                  const PolicyView& view) -> void {
  const auto& stated = view.targets[target].stated;
  if (result == AttemptResult::kAnswered && stated &&
      stated->running + stated->waiting <= stated->slots &&
      std::find(idle.begin(), idle.end(), target) == idle.end()) {
    idle.push_back(target);
  }
}

auto LentSlotsPolicy::Choose(const PolicyView& view)
    -> std::optional<std::size_t> {
  std::optional<std::size_t> chosen;
  const auto consider = [&](std::size_t i) {
    const auto free = (*ledger)[i];
    if (free > 0 && (!chosen || free > (*ledger)[*chosen])) {
      chosen = i;
    }
  };
  for (std::size_t i = 0; i < view.targets.size(); ++i) {
    if (view.targets[i].owned) {
      consider(i);
    }
  }
  if (!chosen) {
    consider(DrawOne(view));
    consider(DrawOne(view));
  }
  if (chosen) {
    --(*ledger)[*chosen];
  }
  return chosen;
}

auto LentSlotsPolicy::OnAnswered(std::size_t target,
                                 AttemptResult /*result*/,
                                 const PolicyView& /*view*/) -> void {
  ++(*ledger)[target];
}

auto OneQueuePolicy::Choose(const PolicyView& view)
    -> std::optional<std::size_t> {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < view.targets.size(); ++i) {
    const auto& target = view.targets[i];
    if (target.own < target.slots &&
        (!best || target.estimate.run_time() <
                      view.targets[*best].estimate.run_time())) {
      best = i;
    }
  }
  return best;
}

auto MakeLoadPolicy(LoadPolicy policy,
                    const std::shared_ptr<SlotLedger>& ledger)
    -> AnyLoadPolicy {
  switch (policy) {
    case LoadPolicy::kProduct:
    case LoadPolicy::kRandom:
      return RandomPolicy();
    case LoadPolicy::kTwoChoices:
      return TwoChoicesPolicy();
    case LoadPolicy::kAgedTwo:
      return AgedEstimatePolicy{2};
    case LoadPolicy::kAgedFour:
      return AgedEstimatePolicy{4};
    case LoadPolicy::kOwnRates:
      return OwnRatesPolicy();
    case LoadPolicy::kIdleQueues:
      return IdleQueuesPolicy();
    case LoadPolicy::kLentSlots:
      return LentSlotsPolicy{ledger};
    case LoadPolicy::kOneQueue:
      return OneQueuePolicy();
  }
  return RandomPolicy();
}

}  // namespace flamingoyoke
