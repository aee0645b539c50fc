#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/answer_table.h"
#include "core/overloaded.h"
#include "decision/gateway/pool_dispatcher.h"
#include "unit/decision/gateway/pool_fixture.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kGateways = 10;
constexpr std::size_t kTargets = 20;
constexpr std::uint32_t kSlots = 2;
// Requests that the targets can run in a second.
constexpr double kCapacity = CapacityOf(kTargets, kSlots);
constexpr Duration kLink = milliseconds(1);
constexpr Duration kReportDelay = milliseconds(3);
constexpr Duration kLength = seconds(16);

// Outcomes between these times after the start are counted.
constexpr Duration kCountFrom = seconds(4);
constexpr Duration kCountTo = seconds(12);

// Twice the requests that the targets can run. The requests have three
// priorities, so that the more urgent ones alone exceed the capacity.
constexpr double kLoadFactor = 2;
constexpr std::uint64_t kPriorities = 3;

// What the callers got.
struct Outcomes {
  std::size_t arrived = 0;
  std::size_t refused = 0;
  std::size_t held_over_1s = 0;
  Duration held = Duration::zero();
  // Answered requests over those that the targets can run.
  double used_capacity = 0;
};

// Gateways that share targets of limited capacity, in virtual time.
class Overload {
 public:
  // Targets queue up to `target_queue` requests and shed those beyond them.
  Overload(std::size_t target_queue, std::uint64_t seed)
      : target_queue_(target_queue), timeline_(seed) {
    std::vector<VmId> vms;
    std::vector<PoolGateway> owners;
    for (std::size_t i = 0; i < kGateways; ++i) {
      vms.emplace_back("g" + std::to_string(i));
      owners.push_back({vms.back(), {}});
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      gateways_.emplace_back(ServiceId("s"), Random(timeline_.random().Next()),
                             PoolLimits{});
      auto peers = vms;
      std::erase(peers, vms[i]);
      Handle(i, PoolConfigured{.targets = MakeTargets(kTargets, kSlots),
                               .peers = peers,
                               .gateways = kGateways,
                               .self = vms[i],
                               .owners = owners});
    }
    timeline_.Push(Duration::zero(), Arrival{});
  }

  auto Run() -> Outcomes {
    timeline_.Run(kLength, [this](const auto& each) { On(each); });
    outcomes_.used_capacity = static_cast<double>(answered_) /
                              (kCapacity * ToSeconds(kCountTo - kCountFrom));
    return outcomes_;
  }

 private:
  struct Work {
    std::size_t gateway = 0;
    AttemptId attempt;
    TargetId target;
  };
  struct Arrival {};
  struct AttemptArrives {
    Work work;
  };
  struct WorkEnds {
    Work work;
  };
  struct Input {
    std::size_t gateway = 0;
    PoolEvent event;
  };
  using Event = std::variant<Arrival, AttemptArrives, WorkEnds, Input>;
  struct Target {
    std::uint32_t running = 0;
    std::vector<Work> waiting;
  };

  static auto Counts(TimePoint at) -> bool {
    return at >= kStart + kCountFrom && at < kStart + kCountTo;
  }

  auto Handle(std::size_t gateway, const PoolEvent& event) -> void {
    for (const auto& action :
         gateways_[gateway].OnEvent(event, timeline_.now())) {
      std::visit(
          Overloaded{
              [&](const StartAttempt& start) {
                timeline_.Push(kLink, AttemptArrives{{gateway, start.attempt,
                                                      start.target}});
              },
              [&](const CancelAttempt&) {},
              [&](const DeliverAnswer&) {
                answered_ += Counts(timeline_.now()) ? 1 : 0;
              },
              [&](const RefuseRequest& refuse) { RecordRefused(refuse); },
              [&](const SendToPeer& send) {
                const auto& report = std::get<OutcomeReport>(send.message);
                timeline_.Push(
                    kReportDelay,
                    Input{static_cast<std::size_t>(
                              std::stoul(send.peer.value().substr(1))),
                          PoolPeerReport{VmId("g" + std::to_string(gateway)),
                                         report.outcomes, report.requests}});
              },
              [&](const WakePoolAt& wake) {
                timeline_.Push(wake.at - timeline_.now(),
                               Input{gateway, PoolTimer{}});
              },
          },
          action);
    }
  }

  auto RecordRefused(const RefuseRequest& refuse) -> void {
    const auto arrived = arrived_.at(refuse.request.value() - 1);
    if (!Counts(arrived)) {
      return;
    }
    const auto held = timeline_.now() - arrived;
    ++outcomes_.refused;
    outcomes_.held += held;
    outcomes_.held_over_1s += held > seconds(1) ? 1 : 0;
    cr_assert_gt(refuse.retry_after, Duration::zero());
    // Targets only answer or shed, so no refused request has run.
    cr_assert(AnswerFor(refuse.error).outcome == Outcome::kNotRun);
  }

  auto On(const Arrival& /*event*/) -> void {
    outcomes_.arrived += Counts(timeline_.now()) ? 1 : 0;
    arrived_.push_back(timeline_.now());
    Handle(timeline_.random().Below(kGateways),
           PoolRequestArrived{.request = RequestId(arrived_.size()),
                              .priority = static_cast<std::uint32_t>(
                                  timeline_.random().Below(kPriorities)),
                              .max_attempts = 2,
                              .deadline = timeline_.now() + kTimeout,
                              .objective = kObjective});
    timeline_.Push(timeline_.DrawGap(kLoadFactor * kCapacity), Arrival{});
  }

  auto On(const AttemptArrives& event) -> void {
    auto& target = targets_[event.work.target];
    if (target.running < kSlots) {
      Begin(target, event.work);
    } else if (target.waiting.size() < target_queue_) {
      target.waiting.push_back(event.work);
    } else {
      timeline_.Push(kLink, Input{event.work.gateway,
                                  PoolAttemptEnded{event.work.attempt,
                                                   AttemptResult::kShed}});
    }
  }

  auto Begin(Target& target, const Work& work) -> void {
    ++target.running;
    timeline_.Push(timeline_.DrawWork(), WorkEnds{work});
  }

  auto On(const WorkEnds& event) -> void {
    auto& target = targets_[event.work.target];
    --target.running;
    timeline_.Push(
        kLink, Input{event.work.gateway, PoolAttemptEnded{event.work.attempt}});
    if (!target.waiting.empty()) {
      const auto next = target.waiting.front();
      target.waiting.erase(target.waiting.begin());
      Begin(target, next);
    }
  }

  auto On(const Input& event) -> void { Handle(event.gateway, event.event); }

  std::size_t target_queue_;
  PoolTimeline<Event> timeline_;
  std::vector<PoolDispatcher> gateways_;
  std::map<TargetId, Target> targets_;
  std::vector<TimePoint> arrived_;
  std::size_t answered_ = 0;
  Outcomes outcomes_;
};

}  // namespace

// Guards against requests that are held until their deadline although the more
// urgent ones leave them no slot, and against slots that stay empty because too
// many requests are refused.
Test(pool_overload, refuses_soon_and_keeps_the_targets_busy) {
  for (const std::size_t target_queue : {0, 4}) {
    const auto outcomes = Overload(target_queue, 1 + target_queue).Run();
    const auto share_over_1s = static_cast<double>(outcomes.held_over_1s) /
                               static_cast<double>(outcomes.arrived);
    const auto mean_held =
        ToSeconds(outcomes.held) / static_cast<double>(outcomes.refused);
    cr_expect_lt(share_over_1s, 0.1, "queue %zu: %.3f held over 1 s",
                 target_queue, share_over_1s);
    cr_expect_lt(mean_held, 0.5, "queue %zu: held for %.2f s on average",
                 target_queue, mean_held);
    cr_expect_gt(outcomes.used_capacity, 0.97, "queue %zu: used %.3f",
                 target_queue, outcomes.used_capacity);
  }
}

}  // namespace flamingoyoke
