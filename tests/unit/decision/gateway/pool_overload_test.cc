#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/answer_table.h"
#include "core/overloaded.h"
#include "core/random.h"
#include "decision/gateway/pool_dispatcher.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr std::size_t kGateways = 10;
constexpr std::size_t kTargets = 20;
constexpr std::uint32_t kSlots = 2;
constexpr Duration kLink = milliseconds(1);
constexpr Duration kReportDelay = milliseconds(3);
constexpr Duration kMinWork = milliseconds(100);
constexpr Duration kMaxWork = milliseconds(300);
constexpr Duration kTimeout = milliseconds(3500);
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
      : target_queue_(target_queue), random_(seed) {
    std::vector<RegisteredTarget> registered;
    for (std::size_t i = 0; i < kTargets; ++i) {
      RegisteredTarget target;
      target.id = TargetId("t" + std::to_string(i));
      target.host = "10.0.0.1";
      target.port = static_cast<std::uint16_t>(1000 + i);
      target.slots = kSlots;
      registered.push_back(target);
    }
    std::vector<VmId> vms;
    std::vector<PoolGateway> owners;
    for (std::size_t i = 0; i < kGateways; ++i) {
      vms.emplace_back("g" + std::to_string(i));
      owners.push_back({vms.back(), {}});
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      gateways_.emplace_back(ServiceId("s"), Random(random_.Next()),
                             PoolLimits{});
      auto peers = vms;
      std::erase(peers, vms[i]);
      Handle(i, PoolConfigured{.targets = registered,
                               .peers = peers,
                               .gateways = kGateways,
                               .self = vms[i],
                               .owners = owners});
    }
    Push(Duration::zero(), Arrival{});
  }

  auto Run() -> Outcomes {
    while (events_.begin()->first.first < kStart + kLength) {
      now_ = events_.begin()->first.first;
      const auto event = events_.extract(events_.begin());
      std::visit([this](const auto& each) { On(each); }, event.mapped());
    }
    outcomes_.used_capacity = static_cast<double>(answered_) /
                              (Capacity() * ToSeconds(kCountTo - kCountFrom));
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

  // Returns how many requests the targets can run in a second.
  static auto Capacity() -> double {
    return kTargets * kSlots / ToSeconds((kMinWork + kMaxWork) / 2);
  }

  static auto Counts(TimePoint at) -> bool {
    return at >= kStart + kCountFrom && at < kStart + kCountTo;
  }

  auto Push(Duration delay, Event event) -> void {
    events_.emplace(std::pair(now_ + delay, ++last_event_), std::move(event));
  }

  auto Handle(std::size_t gateway, const PoolEvent& event) -> void {
    for (const auto& action : gateways_[gateway].OnEvent(event, now_)) {
      std::visit(
          Overloaded{
              [&](const StartAttempt& start) {
                Push(kLink,
                     AttemptArrives{{gateway, start.attempt, start.target}});
              },
              [&](const CancelAttempt&) {},
              [&](const DeliverAnswer&) { answered_ += Counts(now_) ? 1 : 0; },
              [&](const RefuseRequest& refuse) { RecordRefused(refuse); },
              [&](const SendToPeer& send) {
                const auto& report = std::get<OutcomeReport>(send.message);
                Push(kReportDelay,
                     Input{static_cast<std::size_t>(
                               std::stoul(send.peer.value().substr(1))),
                           PoolPeerReport{VmId("g" + std::to_string(gateway)),
                                          report.outcomes, report.requests}});
              },
              [&](const WakePoolAt& wake) {
                Push(wake.at - now_, Input{gateway, PoolTimer{}});
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
    const auto held = now_ - arrived;
    ++outcomes_.refused;
    outcomes_.held += held;
    outcomes_.held_over_1s += held > seconds(1) ? 1 : 0;
    cr_assert_gt(refuse.retry_after, Duration::zero());
    // Targets only answer or shed, so no refused request has run.
    cr_assert(AnswerFor(refuse.error).outcome == Outcome::kNotRun);
  }

  auto On(const Arrival& /*event*/) -> void {
    outcomes_.arrived += Counts(now_) ? 1 : 0;
    arrived_.push_back(now_);
    Handle(random_.Below(kGateways),
           PoolRequestArrived{.request = RequestId(arrived_.size()),
                              .priority = static_cast<std::uint32_t>(
                                  random_.Below(kPriorities)),
                              .max_attempts = 2,
                              .deadline = now_ + kTimeout,
                              .objective = milliseconds(1000)});
    const auto rate = kLoadFactor * Capacity();
    Push(Duration(static_cast<std::int64_t>(-std::log(1 - random_.Unit()) /
                                            rate * 1e6)),
         Arrival{});
  }

  auto On(const AttemptArrives& event) -> void {
    auto& target = targets_[event.work.target];
    if (target.running < kSlots) {
      Begin(target, event.work);
    } else if (target.waiting.size() < target_queue_) {
      target.waiting.push_back(event.work);
    } else {
      Push(kLink,
           Input{event.work.gateway,
                 PoolAttemptEnded{event.work.attempt, AttemptResult::kShed}});
    }
  }

  auto Begin(Target& target, const Work& work) -> void {
    ++target.running;
    const auto span = static_cast<double>((kMaxWork - kMinWork).count());
    Push(kMinWork + Duration(static_cast<std::int64_t>(span * random_.Unit())),
         WorkEnds{work});
  }

  auto On(const WorkEnds& event) -> void {
    auto& target = targets_[event.work.target];
    --target.running;
    Push(kLink,
         Input{event.work.gateway, PoolAttemptEnded{event.work.attempt}});
    if (!target.waiting.empty()) {
      const auto next = target.waiting.front();
      target.waiting.erase(target.waiting.begin());
      Begin(target, next);
    }
  }

  auto On(const Input& event) -> void { Handle(event.gateway, event.event); }

  std::size_t target_queue_;
  Random random_;
  TimePoint now_ = kStart;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> events_;
  std::uint64_t last_event_ = 0;
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
