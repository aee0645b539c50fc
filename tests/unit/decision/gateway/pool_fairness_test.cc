#include <criterion/criterion.h>

#include <cstdint>
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

using std::chrono::seconds;

constexpr std::size_t kTargets = 8;
constexpr std::uint32_t kSlots = 2;
// Requests that the targets can run in a second.
constexpr double kCapacity = CapacityOf(kTargets, kSlots);
constexpr Duration kLength = seconds(24);
// Requests that arrive between these times after the start are counted.
constexpr Duration kCountFrom = seconds(5);
constexpr Duration kCountTo = seconds(20);
constexpr std::uint64_t kSeeds = 3;

// Requests of one team to one route. The rate is in parts of the capacity.
struct Callers {
  std::string team;
  std::string route;
  std::uint32_t priority = 0;
  double rate = 0;
};

// What the callers of a team or a route got.
struct Served {
  double arrived = 0;
  double answered = 0;
  double refused = 0;
  Duration held_until_refused = Duration::zero();

  [[nodiscard]] auto share() const -> double { return answered / arrived; }
  [[nodiscard]] auto mean_held() const -> double {
    return refused == 0 ? 0 : ToSeconds(held_until_refused) / refused;
  }
};

// One gateway with targets of limited capacity, in virtual time.
class Service {
 public:
  Service(std::vector<Callers> callers, std::uint64_t seed)
      : callers_(std::move(callers)),
        timeline_(seed),
        dispatcher_(ServiceId("s"),
                    Random(timeline_.random().Next()),
                    PoolLimits{}) {
    PoolConfigured configured;
    configured.targets = MakeTargets(kTargets, kSlots);
    Handle(configured);
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      PushArrival(i);
    }
  }

  auto Run() -> Service& {
    timeline_.Run(kLength, [this](const auto& each) { On(each); });
    return *this;
  }

  [[nodiscard]] auto OfTeam(const std::string& team) const -> const Served& {
    return by_team_.at(team);
  }
  [[nodiscard]] auto OfRoute(const std::string& route) const -> const Served& {
    return by_route_.at(route);
  }
  [[nodiscard]] auto all() const -> const Served& { return all_; }
  // Returns the share of the capacity that was turned into answers.
  [[nodiscard]] auto used_capacity() const -> double {
    return all_.answered / (kCapacity * ToSeconds(kCountTo - kCountFrom));
  }

 private:
  struct Arrival {
    std::size_t callers = 0;
  };
  struct WorkEnds {
    AttemptId attempt;
  };
  struct Timer {};
  using Event = std::variant<Arrival, WorkEnds, Timer>;
  struct Request {
    const Callers* callers = nullptr;
    TimePoint arrived;
    bool started = false;
  };

  auto PushArrival(std::size_t callers) -> void {
    timeline_.Push(timeline_.DrawGap(callers_[callers].rate * kCapacity),
                   Arrival{callers});
  }

  // Calls `add` for each sum that the request is a part of.
  template <typename Add>
  auto Count(const Request& request, const Add& add) -> void {
    if (request.arrived >= kStart + kCountFrom &&
        request.arrived < kStart + kCountTo) {
      for (auto* served : {&by_team_[request.callers->team],
                           &by_route_[request.callers->route], &all_}) {
        add(*served);
      }
    }
  }

  auto Handle(const PoolEvent& event) -> void {
    for (const auto& action : dispatcher_.OnEvent(event, timeline_.now())) {
      std::visit(
          Overloaded{
              [&](const StartAttempt& start) {
                requests_.at(start.request.value() - 1).started = true;
                timeline_.Push(timeline_.DrawWork(), WorkEnds{start.attempt});
              },
              [&](const DeliverAnswer& deliver) {
                const auto& request = requests_.at(deliver.request.value() - 1);
                cr_assert_leq(timeline_.now(),
                              request.arrived + kTimeout + kMaxWork);
                Count(request, [](Served& each) { ++each.answered; });
              },
              [&](const RefuseRequest& refuse) {
                const auto& request = requests_.at(refuse.request.value() - 1);
                cr_assert(AnswerFor(refuse.error).outcome == Outcome::kNotRun);
                cr_assert_not(request.started);
                cr_assert_gt(refuse.retry_after, Duration::zero());
                Count(request, [&](Served& each) {
                  ++each.refused;
                  each.held_until_refused += timeline_.now() - request.arrived;
                });
              },
              [&](const WakePoolAt& wake) {
                timeline_.Push(wake.at - timeline_.now(), Timer{});
              },
              [](const auto&) {},
          },
          action);
    }
  }

  auto On(const Arrival& event) -> void {
    const auto& callers = callers_[event.callers];
    requests_.push_back({&callers, timeline_.now()});
    Count(requests_.back(), [](Served& each) { ++each.arrived; });
    PushArrival(event.callers);
    Handle(PoolRequestArrived{.request = RequestId(requests_.size()),
                              .route = callers.route,
                              .team = TeamId(callers.team),
                              .priority = callers.priority,
                              .deadline = timeline_.now() + kTimeout,
                              .objective = kObjective});
  }

  auto On(const WorkEnds& event) -> void {
    Handle(PoolAttemptEnded{event.attempt});
  }

  auto On(const Timer& /*event*/) -> void { Handle(PoolTimer{}); }

  const std::vector<Callers> callers_;
  PoolTimeline<Event> timeline_;
  std::vector<Request> requests_;
  std::map<std::string, Served> by_team_;
  std::map<std::string, Served> by_route_;
  Served all_;
  PoolDispatcher dispatcher_;
};

// Checks what holds under any load: the capacity is used, refused requests
// learn it soon, and no team or route is served less than a quarter as often as
// all requests are.
auto CheckShares(const Service& service,
                 const std::vector<Callers>& callers,
                 const std::string& load) -> void {
  const auto all = service.all();
  cr_expect_gt(service.used_capacity(), 0.95, "%s: used %.3f", load.c_str(),
               service.used_capacity());
  cr_expect_lt(all.mean_held(), 0.5, "%s: held for %.2f s", load.c_str(),
               all.mean_held());
  for (const auto& each : callers) {
    for (const auto& [name, served] :
         {std::pair(each.team, service.OfTeam(each.team)),
          std::pair(each.route, service.OfRoute(each.route))}) {
      cr_expect_gt(served.share(), all.share() / 4,
                   "%s: %s got %.3f, all got %.3f", load.c_str(), name.c_str(),
                   served.share(), all.share());
    }
  }
}

}  // namespace

// Load: five teams that use 75% of the capacity, until one of them sends 7.5
// times as much. Guards against the other four paying for it.
Test(pool_fairness, a_team_beyond_its_usual_load_delays_only_itself) {
  std::vector<Callers> callers = {{"loud", "r", 1, 0.15 * 7.5}};
  for (const auto* team : {"a", "b", "c", "d"}) {
    callers.push_back({team, "r", 1, 0.15});
  }
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto load = "loud team, seed " + std::to_string(seed);
    Service service(callers, seed);
    service.Run();
    CheckShares(service, callers, load);
    for (const auto* team : {"a", "b", "c", "d"}) {
      const auto& served = service.OfTeam(team);
      cr_expect_gt(served.share(), 0.95, "%s: %s got %.3f", load.c_str(), team,
                   served.share());
    }
  }
}

// Load: two routes of one service with different priorities, together twice the
// capacity; the urgent one alone exceeds it. Guards against a route that gets
// nothing, and against an urgent one that pays more than the guarantee for it.
Test(pool_fairness, a_less_urgent_route_keeps_a_part) {
  const std::vector<Callers> callers = {{"t", "urgent", 0, 1.4},
                                        {"t", "later", 2, 0.6}};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto load = "two priorities, seed " + std::to_string(seed);
    Service service(callers, seed);
    service.Run();
    CheckShares(service, callers, load);
    cr_expect_gt(service.OfRoute("urgent").share(), 0.6, "%s: %.3f",
                 load.c_str(), service.OfRoute("urgent").share());
  }
}

// Load: forty small teams and one that sends as much as all of them, at twice
// the capacity, on routes of three priorities. Guards against flows that earn a
// start too rarely, and against a large flow with the turns of a small one.
Test(pool_fairness, no_team_or_route_starves_among_many) {
  std::vector<Callers> callers = {{"large", "r0", 0, 1.0}};
  for (std::uint32_t i = 0; i < 40; ++i) {
    const auto priority = i % 3;
    callers.push_back({"t" + std::to_string(i), "r" + std::to_string(priority),
                       priority, 1.0 / 40});
  }
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Service service(callers, seed);
    service.Run();
    CheckShares(service, callers, "many teams, seed " + std::to_string(seed));
  }
}

}  // namespace flamingoyoke
