#include "bench/gateway_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <numbers>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bench/policy_gateway.h"
#include "core/overloaded.h"
#include "core/random.h"
#include "decision/gateway/pool_dispatcher.h"
#include "unit/decision/event_queue.h"

namespace flamingoyoke {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(1000)};
constexpr Duration kLink = std::chrono::microseconds(500);
constexpr Duration kFailureTime = std::chrono::milliseconds(1);
constexpr Duration kMinWork = std::chrono::milliseconds(100);
constexpr Duration kMaxWork = std::chrono::milliseconds(300);
constexpr Duration kDeadline = std::chrono::seconds(4);
constexpr Duration kObjective = std::chrono::milliseconds(1200);
constexpr std::uint32_t kSlots = 2;
// Requests that wait at a target for a slot; it sheds any beyond them.
constexpr std::size_t kTargetQueue = 4;
// Time without an attempt after which a failing target counts as avoided.
constexpr Duration kAvoided = std::chrono::seconds(1);
// Age at which the failure of a target is known to all gateways.
constexpr Duration kKnown = std::chrono::milliseconds(250);
constexpr std::size_t kDomains = 6;
constexpr double kFloorShare = 0.7;
// The floor is checked in windows of this length, one after each step.
constexpr Duration kFloorWindow = std::chrono::seconds(2);
constexpr Duration kFloorStep = std::chrono::milliseconds(100);
// Time after which a target that failed counts as sound again.
constexpr Duration kSoundAfter = std::chrono::seconds(2);
// Limits of the share of unserved requests within which the floor is owed.
constexpr double kMinUnserved = 0.1;
constexpr double kMaxUnserved = 0.5;
// Targets that differ: the range of their run times, their slots, and how many
// of them are how much slower when full.
constexpr double kSpeedRange = 4;
constexpr std::uint32_t kMinSlots = 2;
constexpr std::uint32_t kMaxSlots = 6;
constexpr double kSlowWhenFullShare = 1.0 / 3;
constexpr double kSlowWhenFull = 1.5;
constexpr Duration kSwingPeriod = std::chrono::seconds(5);
// A shorter wait is a delay of messages.
constexpr Duration kMinWait = std::chrono::milliseconds(1);
// Share of the served requests whose waiting is divided by its place.
constexpr double kLongestShare = 0.02;

auto DomainOf(std::size_t index) -> FailureDomainId {
  return FailureDomainId("d" + std::to_string(index % kDomains));
}

struct Work {
  std::size_t gateway = 0;
  AttemptId attempt;
  std::size_t target = 0;
  RequestId request;
  TimePoint arrives = {};
};
struct Arrival {};
struct AttemptArrives {
  Work work;
};
struct WorkEnds {
  Work work;
  bool failed = false;
};
struct AttemptReturns {
  Work work;
  AttemptResult result = AttemptResult::kAnswered;
  std::optional<StatedLoad> load = {};
};
struct ReportArrives {
  std::size_t from = 0;
  std::size_t to = 0;
  // Key in in_transit_.
  std::uint64_t report = 0;
};
struct Wake {
  std::size_t gateway = 0;
  TimePoint at;
};
struct Turn {
  std::size_t target = 0;
};
using Event = std::variant<Arrival,
                           AttemptArrives,
                           WorkEnds,
                           AttemptReturns,
                           ReportArrives,
                           Wake,
                           Turn>;

struct Target {
  std::uint32_t slots = kSlots;
  // Mean run time over that of a usual target, and the factor when full.
  double run_time = 1;
  double slow_when_full = 1;
  bool failing = false;
  bool disturbed = false;
  std::uint32_t running = 0;
  // Attempts that were sent and have not arrived yet.
  std::uint32_t coming = 0;
  bool is_free = true;
  std::deque<Work> waiting;
  std::size_t attempts = 0;
  // Of the present turn.
  std::optional<TimePoint> first_failure;
  std::optional<TimePoint> last_attempt;
  bool avoided = false;
  std::optional<TimePoint> recovered;
  // Times of all attempts, and start and end of the times in which it failed.
  std::vector<TimePoint> used_at;
  std::vector<std::pair<TimePoint, TimePoint>> failing_spells;

  // Returns whether the target is sound from `from` to `to`.
  [[nodiscard]] auto IsSound(TimePoint from, TimePoint to) const -> bool {
    return std::none_of(
        failing_spells.begin(), failing_spells.end(), [&](const auto& spell) {
          return spell.first < to && (spell.second == TimePoint::max() ||
                                      spell.second + kSoundAfter > from);
        });
  }
  [[nodiscard]] auto IsUsed(TimePoint from, TimePoint to) const -> bool {
    const auto first = std::lower_bound(used_at.begin(), used_at.end(), from);
    return first != used_at.end() && *first < to;
  }
};

using Gateway = std::variant<PoolDispatcher, PolicyGateway>;

// What one two-second window contains.
struct FloorWindow {
  std::size_t requests = 0;
  std::size_t unserved = 0;
  std::size_t sound = 0;
  std::size_t used = 0;

  [[nodiscard]] auto IsBelowFloor() const -> bool {
    return used > 0 &&
           static_cast<double>(used) < kFloorShare * static_cast<double>(sound);
  }
  [[nodiscard]] auto IsMissed() const -> bool {
    const auto unserved_share =
        static_cast<double>(unserved) /
        static_cast<double>(std::max<std::size_t>(requests, 1));
    return unserved_share > kMinUnserved && unserved_share < kMaxUnserved &&
           IsBelowFloor();
  }
};

struct Mean {
  double sum = 0;
  std::size_t count = 0;

  auto Add(Duration duration) -> void {
    sum += ToSeconds(duration) * 1000;
    ++count;
  }
  [[nodiscard]] auto value() const -> double {
    return count == 0 ? 0 : sum / static_cast<double>(count);
  }
};

// Course of a request.
struct RequestState {
  TimePoint arrived;
  bool served = false;
  bool started = false;
  // Waiting until the last attempt began to run, and the part of it at the
  // target.
  Duration waited = Duration::zero();
  Duration queued = Duration::zero();
  std::optional<Duration> response;
  // Whether it was held at the gateway, queued at a target or shed by one while
  // another target had a free slot.
  bool held_beside_idle = false;
  bool queued_beside_idle = false;
  bool shed_beside_idle = false;

  [[nodiscard]] auto WaitedBesideIdle() const -> bool {
    return held_beside_idle || queued_beside_idle || shed_beside_idle;
  }
};

// The value that 99% of `values` don't exceed, in milliseconds.
auto PercentileMs(std::vector<Duration> values) -> double {
  if (values.empty()) {
    return 0;
  }
  const auto nth =
      values.begin() +
      static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(values.size()));
  std::nth_element(values.begin(), nth, values.end());
  return 1000 * ToSeconds(*nth);
}

// Mean times of the requests that waited longest.
struct LongestWaitTimes {
  double held_ms = 0;
  double queued_ms = 0;
};

auto LongestWaits(std::vector<const RequestState*> served) -> LongestWaitTimes {
  const auto count = static_cast<std::size_t>(
      kLongestShare * static_cast<double>(served.size()));
  if (count == 0) {
    return {};
  }
  std::nth_element(
      served.begin(), served.begin() + static_cast<std::ptrdiff_t>(count),
      served.end(),
      [](const auto* a, const auto* b) { return a->waited > b->waited; });
  Mean held;
  Mean queued;
  for (std::size_t i = 0; i < count; ++i) {
    held.Add(served[i]->waited - served[i]->queued);
    queued.Add(served[i]->queued);
  }
  return {held.value(), queued.value()};
}

class GatewaySimulation {
 public:
  explicit GatewaySimulation(const GatewaySimulationOptions& options)
      : options_(options), random_(options.seed) {
    std::vector<RegisteredTarget> registered;
    targets_.resize(options.targets);
    if (options.unequal_targets) {
      MakeTargetsUnequal();
    }
    for (std::size_t i = 0; i < options.targets; ++i) {
      RegisteredTarget target;
      target.id = TargetId("t" + std::to_string(100'000 + i));
      target.host = "10.0.0.1";
      target.port = static_cast<std::uint16_t>(1 + i);
      target.failure_domain = DomainOf(i);
      target.slots = targets_[i].slots;
      index_.emplace(target.id, i);
      registered.push_back(target);
      events_.Push(kStart + RandomTime(options.turn), Turn{i});
    }
    for (auto& target : targets_) {
      target.failing = random_.Unit() < options.failing_share;
      if (target.failing) {
        target.failing_spells.emplace_back(kStart, TimePoint::max());
      }
      target.disturbed = options.disturbed_share > 0 &&
                         random_.Unit() < options.disturbed_share;
    }
    free_targets_ = static_cast<std::ptrdiff_t>(targets_.size());
    AddGateways(registered);
    events_.Push(kStart, Arrival{});
  }

  auto Run() -> GatewaySimulationResult {
    const auto end = kStart + options_.length;
    while (events_.NextTime() < end) {
      now_ = events_.NextTime();
      const auto event = events_.Pop();
      std::visit([this](const auto& each) { On(each); }, event);
    }
    return Summarize();
  }

 private:
  // Draws the figures from a generator of its own, so that the other runs keep
  // their course.
  auto MakeTargetsUnequal() -> void {
    Random random(options_.seed + 1);
    for (auto& target : targets_) {
      target.slots = kMinSlots + static_cast<std::uint32_t>(
                                     random.Below(kMaxSlots - kMinSlots + 1));
      target.run_time = std::pow(kSpeedRange, random.Unit() - 0.5);
      target.slow_when_full =
          random.Unit() < kSlowWhenFullShare ? kSlowWhenFull : 1;
    }
  }

  // Returns how many requests per second the target can run.
  [[nodiscard]] static auto CapacityOf(const Target& target) -> double {
    return target.slots /
           (target.run_time * ToSeconds(kMinWork + kMaxWork) / 2);
  }

  [[nodiscard]] auto TotalCapacity() const -> double {
    double total = 0;
    for (const auto& target : targets_) {
      total += CapacityOf(target);
    }
    return total;
  }

  // Requests per second now.
  [[nodiscard]] auto DemandNow() const -> double {
    const auto mean =
        options_.utilization > 0
            ? options_.utilization * total_capacity_
            : options_.load * static_cast<double>(options_.targets);
    if (options_.swing == 0) {
      return mean;
    }
    return mean * (1 + options_.swing * std::sin(2 * std::numbers::pi *
                                                 ToSeconds(now_ - kStart) /
                                                 ToSeconds(kSwingPeriod)));
  }

  auto MakeGateway(const PoolLimits& limits) -> Gateway {
    const Random random(random_.Next());
    if (options_.policy == LoadPolicy::kProduct) {
      return PoolDispatcher(ServiceId("s"), random, limits);
    }
    return PolicyGateway(MakeLoadPolicy(options_.policy, ledger_), random);
  }

  auto AddGateways(const std::vector<RegisteredTarget>& registered) -> void {
    total_capacity_ = TotalCapacity();
    ledger_ = std::make_shared<SlotLedger>();
    for (const auto& target : targets_) {
      ledger_->push_back(target.slots);
    }
    std::vector<VmId> vms;
    for (std::size_t i = 0; i < options_.gateways; ++i) {
      vms.emplace_back("g" + std::to_string(i));
      gateway_index_.emplace(vms.back(), i);
    }
    const PoolLimits limits = {
        .floor_share = kFloorShare, .retry_share = 0.2, .min_retries = 3};
    std::vector<PoolGateway> owners;
    for (std::size_t i = 0; i < options_.gateways; ++i) {
      owners.push_back({vms[i], DomainOf(i)});
    }
    double share = 0;
    for (std::size_t i = 0; i < options_.gateways; ++i) {
      auto peers = vms;
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
      if (options_.peers > 0 && options_.peers < peers.size()) {
        // The next ones in a ring.
        std::rotate(
            peers.begin(),
            peers.begin() + static_cast<std::ptrdiff_t>(i % peers.size()),
            peers.end());
        peers.resize(options_.peers);
      }
      gateways_.push_back(MakeGateway(limits));
      share += 1 + (options_.imbalance - 1) * random_.Unit();
      shares_.push_back(share);
      Handle(i, PoolConfigured{
                    .targets = registered,
                    .own_domain = DomainOf(i),
                    .peers = peers,
                    .gateways = options_.gateways,
                    .self = vms[i],
                    .owners = owners,
                });
      if (options_.loop_delay > Duration::zero()) {
        Handle(i, PoolLoopDelayed{options_.loop_delay});
      }
      owned_.push_back(OwnedTargets(vms[i], registered, owners));
    }
  }

  auto RandomTime(Duration most) -> Duration {
    return Duration(static_cast<std::int64_t>(
        random_.Unit() * static_cast<double>(most.count())));
  }

  [[nodiscard]] auto Counts() const -> bool {
    return now_ - kStart >= options_.turn;
  }

  auto Handle(std::size_t gateway, const PoolEvent& event) -> void {
    const auto actions =
        std::visit([&](auto& each) { return each.OnEvent(event, now_); },
                   gateways_[gateway]);
    for (const auto& action : actions) {
      std::visit(
          Overloaded{
              [&](const StartAttempt& start) { StartAt(gateway, start); },
              [&](const CancelAttempt&) {},
              [&](const DeliverAnswer& deliver) {
                RecordEnd(deliver.request, !is_error_answer_);
              },
              [&](const RefuseRequest& refuse) {
                RecordEnd(refuse.request, false);
              },
              [&](const SendToPeer& send) {
                in_transit_.emplace(++reports_,
                                    std::get<OutcomeReport>(send.message));
                events_.Push(
                    now_ + options_.report_delay,
                    ReportArrives{gateway, gateway_index_.at(send.peer),
                                  reports_});
              },
              [&](const WakePoolAt& wake) {
                events_.Push(wake.at, Wake{gateway, wake.at});
              },
          },
          action);
    }
  }

  auto StartAt(std::size_t gateway, const StartAttempt& start) -> void {
    const auto target = index_.at(start.target);
    auto delay = kLink;
    if (options_.policy == LoadPolicy::kLentSlots &&
        !owned_[gateway].contains(start.target)) {
      // Two owners were asked for a slot.
      delay += 2 * options_.report_delay;
      reports_ += 4;
    }
    state_of(start.request).started = true;
    ++targets_[target].coming;
    UpdateFree(target);
    crossed_ += Counts() && DomainOf(target) != DomainOf(gateway) ? 1 : 0;
    events_.Push(now_ + delay, AttemptArrives{{gateway, start.attempt, target,
                                               start.request, now_ + delay}});
  }

  // Counts the targets with a slot for which no request is running or coming.
  auto UpdateFree(std::size_t index) -> void {
    auto& target = targets_[index];
    const bool is_free = target.running + target.coming < target.slots;
    if (is_free != target.is_free) {
      target.is_free = is_free;
      free_targets_ += is_free ? 1 : -1;
    }
  }

  auto state_of(RequestId request) -> RequestState& {
    return requests_made_[request.value() - 1];
  }

  auto RecordEnd(RequestId request, bool is_served) -> void {
    failed_ += Counts() && !is_served ? 1 : 0;
    auto& state = state_of(request);
    state.served = is_served;
    state.response = now_ - state.arrived;
  }

  auto On(const Arrival& /*event*/) -> void {
    const auto drawn = random_.Unit() * shares_.back();
    const auto gateway = static_cast<std::size_t>(
        std::upper_bound(shares_.begin(), shares_.end(), drawn) -
        shares_.begin());
    requests_ += Counts() ? 1 : 0;
    const bool repeatable = random_.Unit() < options_.repeatable_share;
    requests_made_.emplace_back().arrived = now_;
    const RequestId request(++last_request_);
    Handle(std::min(gateway, gateways_.size() - 1),
           PoolRequestArrived{.request = request,
                              .repeatable = repeatable,
                              .max_attempts = 2,
                              .deadline = now_ + kDeadline,
                              .objective = kObjective});
    if (!state_of(request).started && free_targets_ > 0) {
      state_of(request).held_beside_idle = true;
    }
    events_.Push(now_ + Duration(static_cast<std::int64_t>(
                            -std::log(1 - random_.Unit()) / DemandNow() * 1e6)),
                 Arrival{});
  }

  auto On(const AttemptArrives& event) -> void {
    auto& target = targets_[event.work.target];
    --target.coming;
    target.attempts += Counts() ? 1 : 0;
    target.used_at.push_back(now_);
    if (target.first_failure && !target.avoided) {
      if (now_ - target.last_attempt.value_or(now_) >= kAvoided) {
        target.avoided = true;
        AddAvoidTime(target);
      }
    }
    target.last_attempt = now_;
    if (!target.failing && target.recovered) {
      reuse_.Add(now_ - *target.recovered);
      target.recovered.reset();
    }
    if (target.running < target.slots) {
      Begin(target, event.work);
      return;
    }
    UpdateFree(event.work.target);
    auto& state = state_of(event.work.request);
    const bool is_beside_idle = free_targets_ > 0;
    if (target.waiting.size() < kTargetQueue) {
      state.queued_beside_idle = state.queued_beside_idle || is_beside_idle;
      target.waiting.push_back(event.work);
      return;
    }
    state.shed_beside_idle = state.shed_beside_idle || is_beside_idle;
    shed_ += Counts() ? 1 : 0;
    events_.Push(now_ + kLink, AttemptReturns{event.work, AttemptResult::kShed,
                                              LoadOf(target, 0)});
  }

  // Returns what the target states, with `answered` requests being answered.
  [[nodiscard]] auto LoadOf(const Target& target, std::uint32_t answered) const
      -> std::optional<StatedLoad> {
    if (!options_.unequal_targets || !options_.states_load) {
      return std::nullopt;
    }
    return StatedLoad{target.running + answered,
                      static_cast<std::uint32_t>(target.waiting.size()),
                      target.slots};
  }

  auto Begin(Target& target, const Work& work) -> void {
    ++target.running;
    auto& state = state_of(work.request);
    const auto waited = now_ - state.arrived - kLink;
    state.waited = waited < kMinWait ? Duration::zero() : waited;
    state.queued = now_ - work.arrives;
    const bool fails = target.failing && random_.Unit() < options_.failure_rate;
    auto time =
        fails ? kFailureTime : kMinWork + RandomTime(kMaxWork - kMinWork);
    if (options_.unequal_targets && !fails) {
      const auto factor =
          target.run_time *
          (target.running == target.slots ? target.slow_when_full : 1);
      time = Duration(static_cast<std::int64_t>(
          factor * static_cast<double>(time.count())));
    }
    events_.Push(now_ + time, WorkEnds{work, fails});
  }

  auto On(const WorkEnds& event) -> void {
    auto& target = targets_[event.work.target];
    --target.running;
    UpdateFree(event.work.target);
    if (event.failed) {
      if (target.first_failure && now_ - *target.first_failure > kKnown) {
        lost_ += Counts() ? 1 : 0;
      }
      if (!target.first_failure) {
        target.first_failure = now_;
      }
    }
    events_.Push(now_ + kLink,
                 AttemptReturns{event.work,
                                event.failed ? AttemptResult::kServerError
                                             : AttemptResult::kAnswered,
                                LoadOf(target, 1)});
    if (!target.waiting.empty()) {
      const auto next = target.waiting.front();
      target.waiting.pop_front();
      Begin(target, next);
      UpdateFree(event.work.target);
    }
  }

  auto On(const AttemptReturns& event) -> void {
    is_error_answer_ = event.result == AttemptResult::kServerError;
    PoolAttemptEnded ended{event.work.attempt, event.result};
    if (event.load) {
      ended.load = LoadNews{*event.load, now_};
    }
    Handle(event.work.gateway, ended);
  }

  auto On(const ReportArrives& event) -> void {
    const auto report = in_transit_.extract(event.report);
    Handle(event.to,
           PoolPeerReport{VmId("g" + std::to_string(event.from)),
                          report.mapped().outcomes, report.mapped().requests});
  }

  auto On(const Wake& event) -> void { Handle(event.gateway, PoolTimer{}); }

  auto On(const Turn& event) -> void {
    auto& target = targets_[event.target];
    const bool was_failing = target.failing;
    target.failing = random_.Unit() < options_.failing_share;
    if (was_failing) {
      target.failing_spells.back().second = now_;
    }
    if (target.failing) {
      target.failing_spells.emplace_back(now_, TimePoint::max());
    }
    if (was_failing && !target.failing) {
      target.recovered = now_;
    }
    if (target.first_failure && !target.avoided) {
      AddAvoidTime(target);
    }
    target.first_failure.reset();
    target.avoided = false;
    events_.Push(now_ + options_.turn, event);
  }

  auto AddAvoidTime(const Target& target) -> void {
    avoid_.Add(std::max(*target.last_attempt - *target.first_failure,
                        Duration::zero()));
  }

  // Returns what the window that ends at `end` contains.
  [[nodiscard]] auto WindowAt(TimePoint end) const -> FloorWindow {
    const auto start = end - kFloorWindow;
    FloorWindow window;
    const auto arrived_before = [](const auto& request, TimePoint time) {
      return request.arrived < time;
    };
    for (auto it =
             std::lower_bound(requests_made_.begin(), requests_made_.end(),
                              start, arrived_before);
         it != requests_made_.end() && it->arrived < end; ++it) {
      ++window.requests;
      window.unserved += it->served ? 0 : 1;
    }
    for (const auto& target : targets_) {
      if (!target.disturbed && target.IsSound(start, end)) {
        ++window.sound;
        window.used += target.IsUsed(start, end) ? 1 : 0;
      }
    }
    return window;
  }

  // Returns the share of the windows for which `matches` returns true. Requests
  // of the last seconds may not have ended yet.
  template <typename Matches>
  [[nodiscard]] auto ShareOfWindows(Matches matches) const -> double {
    std::size_t checked = 0;
    std::size_t matching = 0;
    for (auto end = kStart + options_.turn;
         end <= kStart + options_.length - kDeadline; end += kFloorStep) {
      ++checked;
      matching += matches(WindowAt(end)) ? 1 : 0;
    }
    return static_cast<double>(matching) /
           static_cast<double>(std::max<std::size_t>(checked, 1));
  }

  auto Summarize() const -> GatewaySimulationResult {
    std::size_t busiest = 0;
    std::size_t attempts = 0;
    for (const auto& target : targets_) {
      busiest = std::max(busiest, target.attempts);
      attempts += target.attempts;
    }
    const auto requests =
        static_cast<double>(std::max<std::size_t>(requests_, 1));
    const auto mean =
        static_cast<double>(attempts) / static_cast<double>(targets_.size());
    double most_of_capacity = 0;
    for (const auto& target : targets_) {
      most_of_capacity =
          std::max(most_of_capacity,
                   static_cast<double>(target.attempts) / CapacityOf(target));
    }
    std::vector<Duration> waits;
    std::vector<Duration> responses;
    std::vector<const RequestState*> served;
    std::size_t beside_idle = 0;
    std::size_t held_beside_idle = 0;
    std::size_t queued_beside_idle = 0;
    std::size_t shed_beside_idle = 0;
    for (const auto& request : requests_made_) {
      if (request.arrived - kStart < options_.turn) {
        continue;
      }
      beside_idle += request.WaitedBesideIdle() ? 1 : 0;
      held_beside_idle += request.held_beside_idle ? 1 : 0;
      queued_beside_idle += request.queued_beside_idle ? 1 : 0;
      shed_beside_idle += request.shed_beside_idle ? 1 : 0;
      if (request.served) {
        served.push_back(&request);
        waits.push_back(request.waited);
        responses.push_back(request.response.value_or(Duration::zero()));
      }
    }
    const auto longest = LongestWaits(std::move(served));
    return {
        .requests = requests_,
        .failed_share = static_cast<double>(failed_) / requests,
        .busiest_over_mean = static_cast<double>(busiest) / mean,
        .avoid_ms = avoid_.value(),
        .reuse_ms = reuse_.value(),
        .lost_to_trials_share = static_cast<double>(lost_) / requests,
        .missed_floor_share = ShareOfWindows(
            [](const FloorWindow& window) { return window.IsMissed(); }),
        .exposed_floor_share = ShareOfWindows(
            [](const FloorWindow& window) { return window.IsBelowFloor(); }),
        .reports_per_gateway_s = static_cast<double>(reports_) /
                                 static_cast<double>(options_.gateways) /
                                 ToSeconds(options_.length),
        .weighted_busiest_over_mean =
            most_of_capacity * total_capacity_ / static_cast<double>(attempts),
        .waiting_p99_ms = PercentileMs(std::move(waits)),
        .response_p99_ms = PercentileMs(std::move(responses)),
        .waited_beside_idle_share = static_cast<double>(beside_idle) / requests,
        .held_beside_idle_share =
            static_cast<double>(held_beside_idle) / requests,
        .queued_beside_idle_share =
            static_cast<double>(queued_beside_idle) / requests,
        .shed_beside_idle_share =
            static_cast<double>(shed_beside_idle) / requests,
        .longest_held_ms = longest.held_ms,
        .longest_queued_ms = longest.queued_ms,
        .shed_share = static_cast<double>(shed_) / requests,
        .crossed_share = static_cast<double>(crossed_) / requests,
    };
  }

  GatewaySimulationOptions options_;
  Random random_;
  TimePoint now_ = kStart;
  EventQueue<Event> events_;
  std::vector<Target> targets_;
  std::unordered_map<TargetId, std::size_t> index_;
  std::ptrdiff_t free_targets_ = 0;
  double total_capacity_ = 0;
  std::shared_ptr<SlotLedger> ledger_;
  std::vector<Gateway> gateways_;
  // Targets that each gateway owns.
  std::vector<std::set<TargetId>> owned_;
  std::unordered_map<VmId, std::size_t> gateway_index_;
  // Cumulative shares of the requests.
  std::vector<double> shares_;
  std::uint64_t last_request_ = 0;
  // By request id.
  std::vector<RequestState> requests_made_;
  // Whether the attempt that just ended brought an error answer.
  bool is_error_answer_ = false;
  std::size_t requests_ = 0;
  std::size_t failed_ = 0;
  std::size_t lost_ = 0;
  std::size_t shed_ = 0;
  std::size_t crossed_ = 0;
  std::uint64_t reports_ = 0;
  std::unordered_map<std::uint64_t, OutcomeReport> in_transit_;
  Mean avoid_;
  Mean reuse_;
};

}  // namespace

auto RunGatewaySimulation(const GatewaySimulationOptions& options)
    -> GatewaySimulationResult {
  return GatewaySimulation(options).Run();
}

}  // namespace flamingoyoke
