#include "bench/policy_gateway.h"

#include <utility>

namespace flamingoyoke {
namespace {

// Targets that a request is sent to at most, as in the product.
constexpr std::uint32_t kMaxSent = 2;
// Time after which a waiting request looks for a target again.
constexpr Duration kCheckPeriod = std::chrono::milliseconds(20);

}  // namespace

PolicyGateway::PolicyGateway(AnyLoadPolicy policy, Random random)
    : policy_(std::move(policy)), random_(random) {}

auto PolicyGateway::OnEvent(const PoolEvent& event, TimePoint now)
    -> std::vector<PoolAction> {
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, event);
  StartQueued();
  return std::exchange(actions_, {});
}

auto PolicyGateway::On(const PoolConfigured& event) -> void {
  const auto owned = OwnedTargets(event.self, event.targets, event.owners);
  for (const auto& target : event.targets) {
    ids_.push_back(target.id);
    targets_.push_back(
        {.slots = target.slots, .owned = owned.contains(target.id)});
  }
}

auto PolicyGateway::On(const PoolRequestArrived& event) -> void {
  queue_.push_back({event.request, event.deadline});
}

auto PolicyGateway::On(const PoolAttemptEnded& event) -> void {
  const auto node = attempts_.extract(event.attempt);
  const auto& attempt = node.mapped();
  auto& target = targets_[attempt.target];
  const bool was_shed = event.result == AttemptResult::kShed;
  if (event.load) {
    target.estimate.OnStated(*event.load, target.own, was_shed, 0, counters_);
    target.stated = event.load->load;
  }
  --target.own;
  if (!was_shed) {
    target.estimate.OnAnswered(now_ - attempt.started);
  }
  std::visit(
      [&](auto& policy) {
        policy.OnAnswered(attempt.target, event.result, View());
      },
      policy_);
  if (!was_shed) {
    actions_.emplace_back(DeliverAnswer{attempt.request.id, event.attempt});
  } else if (attempt.request.sent < kMaxSent) {
    queue_.push_front(attempt.request);
  } else {
    actions_.emplace_back(
        RefuseRequest{attempt.request.id, ErrorKind::kUpstreamShed});
  }
}

auto PolicyGateway::StartQueued() -> void {
  while (!queue_.empty()) {
    if (queue_.front().deadline <= now_) {
      actions_.emplace_back(
          RefuseRequest{queue_.front().id, ErrorKind::kDeadlineUnreachable});
      queue_.pop_front();
      continue;
    }
    const auto chosen = std::visit(
        [&](auto& policy) { return policy.Choose(View()); }, policy_);
    if (!chosen) {
      if (wake_ <= now_) {
        wake_ = now_ + kCheckPeriod;
        actions_.emplace_back(WakePoolAt{wake_});
      }
      return;
    }
    auto request = queue_.front();
    queue_.pop_front();
    ++request.sent;
    ++targets_[*chosen].own;
    const AttemptId attempt(++last_attempt_);
    attempts_.emplace(attempt, Attempt{request, *chosen, now_});
    actions_.emplace_back(StartAttempt{request.id, attempt, ids_[*chosen]});
  }
}

}  // namespace flamingoyoke
