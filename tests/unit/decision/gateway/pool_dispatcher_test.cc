#include "decision/gateway/pool_dispatcher.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>

#include "core/answer_table.h"
#include "unit/decision/gateway/pool_fixture.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto MakeLimits() -> PoolLimits {
  return {.floor_share = 0.7, .retry_share = 0.2, .min_retries = 10};
}

auto MakeArrival(std::uint64_t id, bool repeatable, TimePoint now)
    -> PoolRequestArrived {
  return {.request = RequestId(id),
          .repeatable = repeatable,
          .priority = 1,
          .max_attempts = 2,
          .deadline = now + milliseconds(1000),
          .objective = milliseconds(600)};
}

// Returns the actions of type Action.
template <typename Action>
auto ActionsOf(const std::vector<PoolAction>& actions) -> std::vector<Action> {
  std::vector<Action> found;
  for (const auto& action : actions) {
    if (const auto* typed = std::get_if<Action>(&action)) {
      found.push_back(*typed);
    }
  }
  return found;
}

// Returns the configuration of a gateway that owns one of two targets.
auto ConfigureOwner() -> PoolConfigured {
  return {.targets = MakeTargets(2),
          .own_domain = {},
          .peers = {VmId("b")},
          .gateways = 2,
          .self = VmId("a"),
          .owners = {{VmId("a"), {}}, {VmId("b"), {}}}};
}

// A dispatcher and the only attempt that it started.
struct SingleAttempt {
  PoolDispatcher dispatcher;
  StartAttempt attempt;
};

auto StartSingleAttempt(bool repeatable, std::size_t targets) -> SingleAttempt {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{MakeTargets(targets), {}, {}}, kStart);
  const auto starts = ActionsOf<StartAttempt>(
      dispatcher.OnEvent(MakeArrival(1, repeatable, kStart), kStart));
  cr_assert_eq(starts.size(), 1U);
  return {std::move(dispatcher), starts.front()};
}

}  // namespace

// Guards against blaming a target because this process may open no more
// connections, and against an answer that says the request may have run.
Test(pool_dispatcher, a_missing_connection_is_refused_as_not_run) {
  auto [dispatcher, attempt] = StartSingleAttempt(false, 1);
  const auto refused = ActionsOf<RefuseRequest>(dispatcher.OnEvent(
      PoolAttemptEnded{attempt.attempt, AttemptResult::kNoConnection}, kStart));
  cr_assert_eq(refused.size(), 1U);
  cr_expect_eq(refused.front().error, ErrorKind::kOverloaded);
  for (std::uint64_t id = 2; id < 12; ++id) {
    const auto starts = ActionsOf<StartAttempt>(
        dispatcher.OnEvent(MakeArrival(id, false, kStart), kStart));
    cr_assert_eq(starts.size(), 1U, "request %lu found no target", id);
    dispatcher.OnEvent(
        PoolAttemptEnded{starts.front().attempt, AttemptResult::kNoConnection},
        kStart);
  }
}

// Guards against running a request whose key was taken away while it waited,
// and against cutting off or repeating one that runs.
Test(pool_dispatcher, a_revoked_request_starts_no_further_attempt) {
  auto [dispatcher, attempt] = StartSingleAttempt(true, 1);
  dispatcher.OnEvent(MakeArrival(2, true, kStart), kStart);
  dispatcher.OnEvent(MakeArrival(3, true, kStart), kStart);
  cr_assert_eq(dispatcher.queued(), 1U);
  const auto refused = ActionsOf<RefuseRequest>(
      dispatcher.OnEvent(PoolRequestRevoked{RequestId(3)}, kStart));
  cr_assert_eq(refused.size(), 1U);
  cr_expect_eq(refused.front().error, ErrorKind::kUnauthorized);
  cr_expect_eq(dispatcher.queued(), 0U);
  // The first request runs on; its failed attempt is not repeated.
  dispatcher.OnEvent(PoolConfigured{MakeTargets(4), {}, {}}, kStart);
  cr_expect(
      dispatcher.OnEvent(PoolRequestRevoked{RequestId(1)}, kStart).empty());
  const auto ended = dispatcher.OnEvent(
      PoolAttemptEnded{attempt.attempt, AttemptResult::kReset}, kStart);
  cr_expect(ActionsOf<StartAttempt>(ended).empty());
  const auto unknown = ActionsOf<RefuseRequest>(ended);
  cr_assert_eq(unknown.size(), 1U);
  cr_expect_eq(unknown.front().error, ErrorKind::kUpstreamReset);
}

// Guards against avoiding healthy targets because a route's timeout is too
// short: in jutagatt quiet-1, 33 of 33 requests of one route ended with 504 at
// their deadline, each on another target.
Test(pool_dispatcher, a_too_short_route_timeout_leaves_targets_healthy) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{MakeTargets(20), {}, {}}, kStart);
  auto now = kStart;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    auto arrival = MakeArrival(id, false, now);
    arrival.route = "too-short";
    const auto starts =
        ActionsOf<StartAttempt>(dispatcher.OnEvent(arrival, now));
    cr_assert_eq(starts.size(), 1U);
    now += milliseconds(1000);
    dispatcher.OnEvent(
        PoolAttemptEnded{starts[0].attempt, AttemptResult::kServerError}, now);
  }
  std::size_t avoided = 0;
  for (const auto& target : MakeTargets(20)) {
    const auto unhealthy =
        dispatcher.pool().UnhealthyProbability(target.id, now);
    avoided +=
        unhealthy > TargetHealthEstimator::kPriorUnhealthy + 0.01 ? 1 : 0;
  }
  cr_assert_leq(avoided, 2U);
}

// Guards against requests that a gateway refuses at once, since all targets
// look unhealthy to it, though it would have sent them to any target in time.
Test(pool_dispatcher, a_request_waits_until_it_accepts_unhealthy_targets) {
  for (const bool owns_targets : {true, false}) {
    PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
    const auto targets = MakeTargets(4);
    dispatcher.OnEvent(
        PoolConfigured{.targets = targets,
                       .own_domain = {},
                       .peers = {VmId("b")},
                       .gateways = 4,
                       .self = VmId("a"),
                       .owners = {{VmId(owns_targets ? "a" : "b"), {}}}},
        kStart);
    PoolPeerReport report{.peer = VmId("b"), .outcomes = {}, .sequence = 1};
    for (const auto& target : targets) {
      report.outcomes.push_back({.target = target.id, .failed = 8});
    }
    dispatcher.OnEvent(report, kStart);
    auto arrival = MakeArrival(1, false, kStart);
    arrival.objective = milliseconds(900);
    arrival.deadline = kStart + arrival.objective;
    auto actions = dispatcher.OnEvent(arrival, kStart);
    auto now = kStart;
    while (ActionsOf<StartAttempt>(actions).empty()) {
      cr_assert(ActionsOf<RefuseRequest>(actions).empty(), "after %ld ms",
                static_cast<long>(ToMilliseconds(now - kStart)));
      cr_assert_lt(now, arrival.deadline);
      now += milliseconds(20);
      actions = dispatcher.OnEvent(PoolTimer{}, now);
    }
    cr_assert_leq(ToMilliseconds(now - kStart), 470);
  }
}

// Guards against ignoring the timeouts of a target that times out every
// request.
Test(pool_dispatcher, a_target_that_times_out_is_unhealthy) {
  auto [dispatcher, attempt] = StartSingleAttempt(false, 4);
  const auto end = kStart + milliseconds(1000);
  dispatcher.OnEvent(
      PoolAttemptEnded{attempt.attempt, AttemptResult::kServerError}, end);
  cr_assert_gt(dispatcher.pool().UnhealthyProbability(attempt.target, end),
               0.9);
}

// Guards against running a non-repeatable request twice, however the first
// attempt ended after the request was written.
Test(pool_dispatcher, never_retries_non_repeatable_requests_that_may_have_run) {
  for (const auto result :
       {AttemptResult::kReset, AttemptResult::kPartialAnswer,
        AttemptResult::kTimeout, AttemptResult::kServerError,
        AttemptResult::kFalseRefusal}) {
    auto sent = StartSingleAttempt(false, 4);
    const auto actions = sent.dispatcher.OnEvent(
        PoolAttemptEnded{sent.attempt.attempt, result}, kStart);
    cr_assert(ActionsOf<StartAttempt>(actions).empty(), "%s",
              std::string(ToName(result)).c_str());
    for (const auto& refused : ActionsOf<RefuseRequest>(actions)) {
      cr_assert_neq(static_cast<int>(AnswerFor(refused.error).outcome),
                    static_cast<int>(Outcome::kNotRun));
    }
  }
}

// Guards against losing a request that a target shed: it has not run and can be
// retried.
Test(pool_dispatcher, retries_shed_requests_on_another_target) {
  auto sent = StartSingleAttempt(false, 4);
  const auto starts = ActionsOf<StartAttempt>(sent.dispatcher.OnEvent(
      PoolAttemptEnded{sent.attempt.attempt, AttemptResult::kShed}, kStart));
  cr_assert_eq(starts.size(), 1U);
  cr_assert(starts.front().target != sent.attempt.target);
  const auto refused = ActionsOf<RefuseRequest>(sent.dispatcher.OnEvent(
      PoolAttemptEnded{starts.front().attempt, AttemptResult::kShed}, kStart));
  cr_assert_eq(refused.size(), 1U);
  cr_assert_eq(static_cast<int>(AnswerFor(refused.front().error).outcome),
               static_cast<int>(Outcome::kNotRun));
}

// Guards against a request that stays queued until its deadline although every
// target has refused it.
Test(pool_dispatcher, refuses_immediately_when_all_targets_were_tried) {
  auto sent = StartSingleAttempt(false, 1);
  const auto refused = ActionsOf<RefuseRequest>(sent.dispatcher.OnEvent(
      PoolAttemptEnded{sent.attempt.attempt, AttemptResult::kShed}, kStart));
  cr_assert_eq(refused.size(), 1U);
  cr_assert_eq(static_cast<int>(AnswerFor(refused.front().error).outcome),
               static_cast<int>(Outcome::kNotRun));
  cr_assert_gt(refused.front().retry_after, Duration::zero());
}

// Guards against reporting a repeatable request as not run although its first
// attempt may have run it.
Test(pool_dispatcher, reports_not_run_only_if_no_attempt_may_have_run) {
  auto sent = StartSingleAttempt(true, 4);
  const auto starts = ActionsOf<StartAttempt>(sent.dispatcher.OnEvent(
      PoolAttemptEnded{sent.attempt.attempt, AttemptResult::kReset}, kStart));
  cr_assert_eq(starts.size(), 1U);
  const auto refused = ActionsOf<RefuseRequest>(sent.dispatcher.OnEvent(
      PoolAttemptEnded{starts.front().attempt, AttemptResult::kShed}, kStart));
  cr_assert_eq(refused.size(), 1U);
  cr_assert_eq(static_cast<int>(AnswerFor(refused.front().error).outcome),
               static_cast<int>(Outcome::kUnknown));
}

// Guards against returning an error that a second target would have avoided,
// and against replacing the target's own error answer.
Test(pool_dispatcher,
     retries_failed_repeatable_requests_and_delivers_the_last_answer) {
  auto sent = StartSingleAttempt(true, 4);
  const auto starts = ActionsOf<StartAttempt>(sent.dispatcher.OnEvent(
      PoolAttemptEnded{sent.attempt.attempt, AttemptResult::kServerError},
      kStart));
  cr_assert_eq(starts.size(), 1U);
  const auto delivered = ActionsOf<DeliverAnswer>(sent.dispatcher.OnEvent(
      PoolAttemptEnded{starts.front().attempt, AttemptResult::kServerError},
      kStart));
  cr_assert_eq(delivered.size(), 1U);
}

// Guards against retries that amplify an overload: a service whose targets all
// fail must not exceed its retry budget.
Test(pool_dispatcher, stays_within_the_retry_budget) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{MakeTargets(40), {}, {}}, kStart);
  std::set<RequestId> first;
  std::set<RequestId> ended;
  std::size_t retries = 0;
  std::vector<StartAttempt> starts;
  const auto apply_actions = [&](const std::vector<PoolAction>& actions) {
    for (const auto& start : ActionsOf<StartAttempt>(actions)) {
      starts.push_back(start);
    }
    for (const auto& delivered : ActionsOf<DeliverAnswer>(actions)) {
      cr_assert(ended.insert(delivered.request).second);
    }
    for (const auto& refused : ActionsOf<RefuseRequest>(actions)) {
      cr_assert(ended.insert(refused.request).second);
    }
  };
  for (std::uint64_t id = 1; id <= 200; ++id) {
    const auto now = kStart + milliseconds(20) * static_cast<int>(id);
    apply_actions(dispatcher.OnEvent(MakeArrival(id, true, now), now));
    while (!starts.empty()) {
      const auto attempt = starts.front();
      starts.erase(starts.begin());
      // A queued request may start while another one ends.
      retries += first.insert(attempt.request).second ? 0 : 1;
      apply_actions(dispatcher.OnEvent(
          PoolAttemptEnded{attempt.attempt, AttemptResult::kServerError}, now));
    }
  }
  // Each request ended exactly once or is still queued.
  cr_assert_eq(ended.size() + dispatcher.queued(), 200U);
  cr_assert_leq(retries, std::max<std::size_t>(10, first.size() / 5));
  cr_assert_geq(retries, 10U);
}

// Guards against hanging targets: a repeatable request is hedged within its
// objective, and the slower attempt is cancelled.
Test(pool_dispatcher, hedges_repeatable_requests_on_a_slow_target) {
  auto sent = StartSingleAttempt(true, 4);
  const auto later = kStart + milliseconds(590);
  const auto starts =
      ActionsOf<StartAttempt>(sent.dispatcher.OnEvent(PoolTimer{}, later));
  cr_assert_eq(starts.size(), 1U);
  const auto actions = sent.dispatcher.OnEvent(
      PoolAttemptEnded{starts.front().attempt, AttemptResult::kAnswered},
      later + milliseconds(50));
  cr_assert_eq(ActionsOf<DeliverAnswer>(actions).size(), 1U);
  const auto cancelled = ActionsOf<CancelAttempt>(actions);
  cr_assert_eq(cancelled.size(), 1U);
  cr_assert_eq(cancelled.front().attempt.value(), sent.attempt.attempt.value());
}

// Load: a gateway whose events wait, as it is short of processor. Guards
// against hedges of requests whose answers have arrived and wait for their
// turn.
Test(pool_dispatcher, hedges_later_while_events_wait) {
  constexpr auto kDelay = milliseconds(2000);
  auto sent = StartSingleAttempt(true, 2);
  sent.dispatcher.OnEvent(PoolLoopDelayed{kDelay}, kStart);
  const auto hedged_by = [&](Duration time) {
    return !ActionsOf<StartAttempt>(
                sent.dispatcher.OnEvent(PoolTimer{}, kStart + time))
                .empty();
  };
  cr_expect_not(hedged_by(milliseconds(600)));
  sent.dispatcher.OnEvent(PoolLoopDelayed{Duration::zero()}, kStart);
  cr_expect(hedged_by(milliseconds(601)));
}

Test(pool_dispatcher, never_hedges_non_repeatable_requests) {
  auto sent = StartSingleAttempt(false, 4);
  for (int ms = 10; ms < 1000; ms += 10) {
    cr_assert(
        ActionsOf<StartAttempt>(
            sent.dispatcher.OnEvent(PoolTimer{}, kStart + milliseconds(ms)))
            .empty());
  }
}

// Guards against queueing requests until their deadline when there are no
// targets.
Test(pool_dispatcher, refuses_immediately_without_targets) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{{}, {}, {}}, kStart);
  const auto refused = ActionsOf<RefuseRequest>(
      dispatcher.OnEvent(MakeArrival(1, false, kStart), kStart));
  cr_assert_eq(refused.size(), 1U);
  cr_assert_eq(static_cast<int>(refused.front().error),
               static_cast<int>(ErrorKind::kNoTarget));
}

// Guards against queueing requests that cannot be served when the load far
// exceeds the capacity, and against refusing them without Retry-After.
Test(pool_dispatcher, refuses_early_under_overload_with_retry_after) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{MakeTargets(1), {}, {}}, kStart);
  std::size_t refused = 0;
  for (std::uint64_t id = 1; id <= 60; ++id) {
    for (const auto& each : ActionsOf<RefuseRequest>(
             dispatcher.OnEvent(MakeArrival(id, false, kStart), kStart))) {
      ++refused;
      cr_assert_gt(each.retry_after.count(), 0);
    }
  }
  cr_assert_gt(refused, 30U);
  cr_assert_lt(dispatcher.queued(), 20U);
}

// Guards against a shed request that is held until its deadline behind more
// urgent ones.
Test(pool_dispatcher, refuses_a_shed_request_that_cannot_run_in_time) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{.targets = MakeTargets(3), .gateways = 20},
                     kStart);
  std::vector<StartAttempt> running;
  for (std::uint64_t id = 1; id <= 7; ++id) {
    auto arrival = MakeArrival(id, false, kStart);
    arrival.priority = id == 7 ? 0 : 1;
    for (const auto& start :
         ActionsOf<StartAttempt>(dispatcher.OnEvent(arrival, kStart))) {
      running.push_back(start);
    }
  }
  cr_assert_eq(running.size(), 6U);
  cr_assert_eq(dispatcher.queued(), 1U);
  const auto refused = ActionsOf<RefuseRequest>(dispatcher.OnEvent(
      PoolAttemptEnded{running.front().attempt, AttemptResult::kShed},
      kStart + milliseconds(500)));
  cr_assert_eq(refused.size(), 1U);
  cr_assert_eq(refused.front().request.value(), 1U);
  cr_assert_gt(refused.front().retry_after, milliseconds(500));
  cr_assert(AnswerFor(refused.front().error).outcome == Outcome::kNotRun);
}

// Guards against a queued request that is held until its deadline after more
// urgent ones came before it.
Test(pool_dispatcher, refuses_a_queued_request_that_others_overtake) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{MakeTargets(1), {}, {}}, kStart);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    auto arrival = MakeArrival(id, false, kStart);
    arrival.priority = id == 3 ? 2 : 1;
    dispatcher.OnEvent(arrival, kStart);
  }
  const auto refused = ActionsOf<RefuseRequest>(
      dispatcher.OnEvent(PoolTimer{}, kStart + milliseconds(300)));
  cr_assert(std::any_of(refused.begin(), refused.end(), [](const auto& each) {
    return each.request.value() == 3;
  }));
  cr_assert_gt(dispatcher.queued(), 4U);
}

// Guards against running urgent requests after less urgent ones of the same
// service.
Test(pool_dispatcher, runs_the_most_urgent_queued_request_first) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{MakeTargets(1), {}, {}}, kStart);
  std::vector<StartAttempt> running;
  for (std::uint64_t id = 1; id <= 2; ++id) {
    for (const auto& start : ActionsOf<StartAttempt>(
             dispatcher.OnEvent(MakeArrival(id, false, kStart), kStart))) {
      running.push_back(start);
    }
  }
  auto relaxed = MakeArrival(3, false, kStart);
  relaxed.priority = 2;
  dispatcher.OnEvent(relaxed, kStart);
  dispatcher.OnEvent(MakeArrival(4, false, kStart), kStart);
  cr_assert_eq(dispatcher.queued(), 2U);
  const auto next = ActionsOf<StartAttempt>(dispatcher.OnEvent(
      PoolAttemptEnded{running.front().attempt, AttemptResult::kAnswered},
      kStart + milliseconds(20)));
  cr_assert_eq(next.size(), 1U);
  cr_assert_eq(next.front().request.value(), 4U);
}

// Guards against sending a queued request to a target that has left.
Test(pool_dispatcher, refuses_queued_requests_when_all_targets_leave) {
  auto sent = StartSingleAttempt(false, 1);
  sent.dispatcher.OnEvent(MakeArrival(2, false, kStart), kStart);
  sent.dispatcher.OnEvent(MakeArrival(3, false, kStart), kStart);
  cr_assert_eq(sent.dispatcher.queued(), 1U);
  auto targets = MakeTargets(1);
  targets.front().leaving = true;
  const auto actions =
      sent.dispatcher.OnEvent(PoolConfigured{targets, {}, {}}, kStart);
  cr_assert_eq(ActionsOf<RefuseRequest>(actions).size(), 1U);
  // Running attempts are not affected.
  cr_assert(ActionsOf<CancelAttempt>(actions).empty());
}

// Guards against non-repeatable requests that run twice and requests that are
// answered twice, with random results of attempts and cancellations by callers.
Test(pool_dispatcher, never_repeats_or_answers_twice_under_random_events) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Random random(seed);
    PoolDispatcher dispatcher(ServiceId("s"), Random(seed), MakeLimits());
    auto now = kStart;
    dispatcher.OnEvent(PoolConfigured{MakeTargets(5), {}, {VmId("p")}}, now);
    std::map<std::uint64_t, int> possible_runs;
    std::map<std::uint64_t, int> ends;
    std::vector<StartAttempt> running;
    const auto apply = [&](const std::vector<PoolAction>& actions) {
      for (const auto& start : ActionsOf<StartAttempt>(actions)) {
        running.push_back(start);
      }
      for (const auto& cancel : ActionsOf<CancelAttempt>(actions)) {
        std::erase_if(running, [&](const auto& each) {
          return each.attempt == cancel.attempt;
        });
      }
      for (const auto& done : ActionsOf<DeliverAnswer>(actions)) {
        ++ends[done.request.value()];
      }
      for (const auto& done : ActionsOf<RefuseRequest>(actions)) {
        ++ends[done.request.value()];
        const bool claims_not_run =
            AnswerFor(done.error).outcome == Outcome::kNotRun;
        cr_assert(!claims_not_run || possible_runs[done.request.value()] == 0,
                  "seed %lu", static_cast<unsigned long>(seed));
      }
    };
    constexpr auto kResults = std::to_array(
        {AttemptResult::kAnswered, AttemptResult::kServerError,
         AttemptResult::kShed, AttemptResult::kConnectFailed,
         AttemptResult::kTimeout, AttemptResult::kReset,
         AttemptResult::kPartialAnswer, AttemptResult::kFalseRefusal});
    std::uint64_t last = 0;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(random.Below(30));
      const auto dice = random.Below(10);
      if (dice < 4) {
        ++last;
        apply(dispatcher.OnEvent(MakeArrival(last, last % 2 == 0, now), now));
      } else if (dice < 8 && !running.empty()) {
        const auto index = random.Below(running.size());
        const auto attempt = running[index];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        const auto result = kResults[random.Below(kResults.size())];
        if (result != AttemptResult::kShed &&
            result != AttemptResult::kConnectFailed) {
          ++possible_runs[attempt.request.value()];
        }
        apply(
            dispatcher.OnEvent(PoolAttemptEnded{attempt.attempt, result}, now));
      } else if (dice == 8) {
        apply(dispatcher.OnEvent(PoolTimer{}, now));
      } else if (last > 0) {
        const auto id = 1 + random.Below(last);
        if (ends[id] == 0) {
          ends[id] = 1;
          apply(dispatcher.OnEvent(PoolRequestCancelled{RequestId(id)}, now));
        }
      }
    }
    for (const auto& [id, runs] : possible_runs) {
      cr_assert(id % 2 == 0 || runs <= 1, "seed %lu",
                static_cast<unsigned long>(seed));
    }
    for (const auto& [id, count] : ends) {
      cr_assert_leq(count, 1);
    }
  }
}

// Guards against an order that is booked twice: it ran, and its target's answer
// promises that it did not. A repeatable request may have that answer.
Test(pool_dispatcher, delivers_no_false_refusal_of_a_non_repeatable_request) {
  for (const bool repeatable : {false, true}) {
    auto sent = StartSingleAttempt(repeatable, 1);
    const auto actions = sent.dispatcher.OnEvent(
        PoolAttemptEnded{sent.attempt.attempt, AttemptResult::kFalseRefusal},
        kStart);
    const auto refusals = ActionsOf<RefuseRequest>(actions);
    cr_assert_eq(ActionsOf<DeliverAnswer>(actions).size(), repeatable ? 1U : 0);
    cr_assert_eq(refusals.size(), repeatable ? 0 : 1U);
    for (const auto& refusal : refusals) {
      cr_assert(AnswerFor(refusal.error).outcome == Outcome::kUnknown);
    }
  }
}

// Guards against requests to a failing target for as long as it fails: an
// answer of 429 or 408 to a request that ran counted as a success.
Test(pool_dispatcher, a_false_refusal_counts_as_a_failure) {
  auto [dispatcher, attempt] = StartSingleAttempt(false, 4);
  dispatcher.OnEvent(
      PoolAttemptEnded{attempt.attempt, AttemptResult::kFalseRefusal}, kStart);
  cr_assert_gt(dispatcher.pool().UnhealthyProbability(attempt.target, kStart),
               0.9);
}

// Guards against targets that look ill because they asked for a rest, and that
// then get fewer requests than others after it.
Test(pool_dispatcher, a_rest_says_nothing_about_health) {
  for (const auto result :
       {AttemptResult::kShed, AttemptResult::kServerError}) {
    auto [dispatcher, attempt] = StartSingleAttempt(false, 4);
    const auto before =
        dispatcher.pool().UnhealthyProbability(attempt.target, kStart);
    dispatcher.OnEvent(
        PoolTargetSignalled{attempt.attempt, false, milliseconds(500)}, kStart);
    dispatcher.OnEvent(PoolAttemptEnded{attempt.attempt, result, false, true},
                       kStart);
    cr_assert_leq(
        dispatcher.pool().UnhealthyProbability(attempt.target, kStart), before);
    cr_assert_eq(dispatcher.pool().CountOf(Availability::kResting, kStart), 1U);
  }
}

// Guards against retries, hedges and queued requests that reach a leaving
// target, and against requests that wait for one.
Test(pool_dispatcher, queued_requests_never_reach_a_leaving_target) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{MakeTargets(1), {}, {}}, kStart);
  std::vector<StartAttempt> starts;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    for (const auto& start : ActionsOf<StartAttempt>(
             dispatcher.OnEvent(MakeArrival(id, true, kStart), kStart))) {
      starts.push_back(start);
    }
  }
  cr_assert_eq(starts.size(), 2U, "the target has two slots");
  const auto actions = dispatcher.OnEvent(
      PoolTargetSignalled{starts[0].attempt, true, Duration::zero()}, kStart);
  const auto refusals = ActionsOf<RefuseRequest>(actions);
  cr_assert_eq(refusals.size(), 2U);
  for (const auto& refusal : refusals) {
    cr_assert(refusal.error == ErrorKind::kNoTarget);
    cr_assert(AnswerFor(refusal.error).outcome == Outcome::kNotRun);
  }
  const auto later = dispatcher.OnEvent(MakeArrival(9, true, kStart), kStart);
  cr_assert(ActionsOf<StartAttempt>(later).empty());
}

// Guards against a gateway that empties a service by faulty reports: other
// targets are preferred, but the avoided ones are used when they are needed.
Test(pool_dispatcher, targets_that_others_avoid_are_used_last) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(PoolConfigured{MakeTargets(2), {}, {}}, kStart);
  TargetOutcomes avoided{.target = TargetId("t0"),
                         .avoid = std::chrono::hours(1)};
  dispatcher.OnEvent(PoolPeerReport{VmId("b"), {avoided}}, kStart);
  std::map<TargetId, int> started;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    for (const auto& start : ActionsOf<StartAttempt>(
             dispatcher.OnEvent(MakeArrival(id, false, kStart), kStart))) {
      ++started[start.target];
      cr_assert(id > 2 || start.target == TargetId("t1"));
    }
  }
  cr_assert_eq(started[TargetId("t0")], 2);
  cr_assert_eq(started[TargetId("t1")], 2);
}

// Guards against calm outcomes that take a message of their own although one of
// another service has just gone, and against a failure that waits since calm
// outcomes went along.
Test(pool_dispatcher, calm_outcomes_go_with_reports_of_other_services) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  dispatcher.OnEvent(ConfigureOwner(), kStart);
  std::uint64_t last = 0;
  const auto run = [&](AttemptResult result, TimePoint now) {
    const auto starts = ActionsOf<StartAttempt>(
        dispatcher.OnEvent(MakeArrival(++last, false, now), now));
    cr_assert_eq(starts.size(), 1U);
    return ActionsOf<SendToPeer>(dispatcher.OnEvent(
        PoolAttemptEnded{starts.front().attempt, result}, now));
  };
  const auto invite = [&](TimePoint now) {
    return ActionsOf<SendToPeer>(dispatcher.OnEvent(PoolReportInvited{}, now));
  };
  // Requests that start are reported first.
  run(AttemptResult::kAnswered, kStart);
  cr_assert(run(AttemptResult::kAnswered, kStart + milliseconds(100)).empty());
  cr_assert(invite(kStart + milliseconds(110)).empty());
  const auto now = kStart + milliseconds(130);
  cr_assert_eq(invite(now).size(), 1U);
  cr_assert(invite(now).empty());
  cr_assert_eq(run(AttemptResult::kServerError, now).size(), 1U);
}

// Guards against receivers that handle a report of each service with every
// message while several services fail by turns, and against failures that wait
// for the full period although a message is sent anyway.
Test(pool_dispatcher, an_invitation_halves_the_wait_of_a_failure) {
  PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
  std::vector<VmId> peers;
  peers.reserve(12);
  for (int i = 0; i < 12; ++i) {
    peers.emplace_back("g" + std::to_string(i));
  }
  // Without owners, each request is to be reported as soon as possible.
  dispatcher.OnEvent(PoolConfigured{.targets = MakeTargets(1, 4),
                                    .own_domain = {},
                                    .peers = peers,
                                    .gateways = 13},
                     kStart);
  const auto arrive = [&](std::uint64_t id, TimePoint now) {
    return ActionsOf<SendToPeer>(
               dispatcher.OnEvent(MakeArrival(id, false, now), now))
        .size();
  };
  const auto invite = [&](TimePoint now) {
    return ActionsOf<SendToPeer>(dispatcher.OnEvent(PoolReportInvited{}, now))
        .size();
  };
  cr_assert_eq(arrive(1, kStart), peers.size());
  cr_assert_eq(arrive(2, kStart + milliseconds(5)), 0U);
  cr_assert_eq(invite(kStart + milliseconds(29)), 0U);
  cr_assert_eq(invite(kStart + milliseconds(30)), peers.size());
  cr_assert_eq(arrive(3, kStart + milliseconds(80)), 0U);
  cr_assert_eq(ActionsOf<SendToPeer>(
                   dispatcher.OnEvent(PoolTimer{}, kStart + milliseconds(90)))
                   .size(),
               peers.size());
}

// Guards against control messages that use up the processor of a VM that has
// too little of it: 138 VMs at a fifth of their processor sent 950 reports in
// 5 s each. Failures must not wait for it.
Test(pool_dispatcher, reports_calm_outcomes_less_often_while_the_loop_is_late) {
  // Returns the number of reports in 3 s of successes each 10 ms.
  const auto count = [](Duration delay) {
    PoolDispatcher dispatcher(ServiceId("s"), Random(1), MakeLimits());
    dispatcher.OnEvent(ConfigureOwner(), kStart);
    dispatcher.OnEvent(PoolLoopDelayed{delay}, kStart);
    std::uint64_t last = 0;
    const auto run = [&](AttemptResult result, TimePoint now) {
      const auto started =
          dispatcher.OnEvent(MakeArrival(++last, false, now), now);
      const auto attempt = ActionsOf<StartAttempt>(started).front().attempt;
      return ActionsOf<SendToPeer>(started).size() +
             ActionsOf<SendToPeer>(
                 dispatcher.OnEvent(PoolAttemptEnded{attempt, result}, now))
                 .size();
    };
    std::size_t reports = 0;
    auto now = kStart;
    for (; now < kStart + seconds(3); now += milliseconds(10)) {
      reports += run(AttemptResult::kAnswered, now);
    }
    now += milliseconds(20);
    cr_assert_eq(run(AttemptResult::kServerError, now), 1U);
    // The next failure of the target is no surprise, but others learn from it.
    now += milliseconds(20);
    std::size_t further = 0;
    while (further == 0) {
      now += milliseconds(10);
      further += run(AttemptResult::kServerError, now);
      cr_assert_leq(ToMilliseconds(now - kStart), 3000 + 20 + 260 + 20);
    }
    return reports;
  };
  cr_assert_eq(count(Duration::zero()), 12U);
  cr_assert_eq(count(milliseconds(50)), 7U);
  // Others trust what is reported for a second.
  cr_assert_eq(count(seconds(5)), 5U);
}

}  // namespace flamingoyoke
