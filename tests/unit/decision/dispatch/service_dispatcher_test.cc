#include "decision/dispatch/service_dispatcher.h"

#include <criterion/criterion.h>

#include <string>
#include <variant>
#include <vector>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

auto Target(int index) -> TargetId {
  return TargetId("10.0.0." + std::to_string(index) + ":80");
}

// A dispatcher that owns all targets of a service.
class Fixture {
 public:
  explicit Fixture(int targets, std::uint32_t slots = 2)
      : dispatcher_(Random(1)) {
    row_.service = ServiceId("stock");
    row_.slots = slots;
    for (int i = 0; i < targets; ++i) {
      TargetSpec spec;
      spec.id = Target(i);
      row_.targets.push_back(spec);
    }
    Configure();
  }

  auto Configure() -> void {
    DispatchConfigured configured;
    configured.row = row_;
    configured.self = VmId("a");
    configured.home = {VmId("a")};
    for (const auto& target : row_.targets) {
      configured.owned.push_back(target.id);
    }
    Send(configured);
  }

  auto Send(const DispatchEvent& event) -> const std::vector<DispatchAction>& {
    actions_ = dispatcher_.OnEvent(event, now_);
    return actions_;
  }

  auto Arrive(std::uint64_t id, bool repeatable = true) -> void {
    RequestArrived arrived;
    arrived.request = RequestId(id);
    arrived.repeatable = repeatable;
    arrived.deadline = now_ + milliseconds(500);
    Send(arrived);
  }

  auto Finish(AttemptId attempt, AttemptResult result) -> void {
    Send(AttemptFinished{attempt, result});
  }

  // Returns the actions of type T that the last event caused.
  template <typename T>
  auto LastActions() const -> std::vector<T> {
    std::vector<T> found;
    for (const auto& action : actions_) {
      if (const auto* typed = std::get_if<T>(&action)) {
        found.push_back(*typed);
      }
    }
    return found;
  }

  ServiceRow row_;
  TimePoint now_ = kStart;
  ServiceDispatcher dispatcher_;
  std::vector<DispatchAction> actions_;
};

// Guards against more attempts on a target than it has slots.
Test(service_dispatcher, starts_no_more_attempts_than_slots) {
  Fixture fixture(1);
  fixture.Arrive(1);
  cr_assert_eq(fixture.LastActions<StartAttempt>().size(), 1U);
  fixture.Arrive(2);
  cr_assert_eq(fixture.LastActions<StartAttempt>().size(), 1U);
  fixture.Arrive(3);
  cr_assert_eq(fixture.LastActions<StartAttempt>().size(), 0U);
  cr_assert_eq(fixture.dispatcher_.queue_length(), 1U);
  fixture.Finish(AttemptId(1), AttemptResult::kAnswered);
  cr_assert_eq(fixture.LastActions<StartAttempt>().size(), 1U);
}

// Guards against a second execution of a non-repeatable request whose first
// attempt may have reached the upstream.
Test(service_dispatcher, unrepeatable_work_that_may_have_run_is_not_retried) {
  Fixture fixture(2);
  fixture.Arrive(1, false);
  fixture.Finish(AttemptId(1), AttemptResult::kReset);
  cr_assert(fixture.LastActions<StartAttempt>().empty());
  const auto failed = fixture.LastActions<FailRequest>();
  cr_assert_eq(failed.size(), 1U);
  cr_assert(failed[0].error == ErrorKind::kUpstreamReset);
}

// Guards against a request that fails although the upstream reported that it
// did not execute it.
Test(service_dispatcher, shed_work_is_retried_on_another_target) {
  Fixture fixture(2);
  fixture.Arrive(1, false);
  const auto first = fixture.LastActions<StartAttempt>().at(0);
  fixture.Finish(first.attempt, AttemptResult::kShed);
  const auto second = fixture.LastActions<StartAttempt>();
  cr_assert_eq(second.size(), 1U);
  cr_assert(second[0].target != first.target);
}

// Guards against a false "not run" outcome after an attempt that may have been
// executed.
Test(service_dispatcher,
     deadline_after_an_unknown_outcome_is_not_reported_as_not_run) {
  Fixture fixture(1, 1);
  fixture.Arrive(1);
  fixture.Arrive(2);
  fixture.Finish(AttemptId(1), AttemptResult::kReset);
  fixture.now_ += milliseconds(500);
  fixture.Send(DispatchTimer{});
  for (const auto& failed : fixture.LastActions<FailRequest>()) {
    if (failed.request == RequestId(1)) {
      cr_assert(failed.error == ErrorKind::kUpstreamReset);
    }
  }
}

// Guards against requests that wait beyond their deadline.
Test(service_dispatcher, waiting_work_fails_at_its_deadline) {
  Fixture fixture(1, 1);
  fixture.Arrive(1);
  fixture.Arrive(2);
  const auto wake = fixture.LastActions<WakeDispatcherAt>();
  fixture.now_ += milliseconds(500);
  fixture.Send(DispatchTimer{});
  const auto failed = fixture.LastActions<FailRequest>();
  cr_assert_eq(failed.size(), 1U);
  cr_assert(failed[0].request == RequestId(2));
  cr_assert(failed[0].error == ErrorKind::kDeadlinePassed);
}

// Guards against an unbounded queue.
Test(service_dispatcher, full_queue_rejects) {
  Fixture fixture(1, 1);
  fixture.row_.queue_limit = 1;
  fixture.Configure();
  fixture.Arrive(1);
  fixture.Arrive(2);
  fixture.Arrive(3);
  const auto failed = fixture.LastActions<FailRequest>();
  cr_assert_eq(failed.size(), 1U);
  cr_assert(failed[0].error == ErrorKind::kQueueFull);
}

// Guards against a caller that waits although no target is usable.
Test(service_dispatcher, no_usable_target_is_reported_at_once) {
  Fixture fixture(1);
  fixture.Send(TargetShareChanged{Target(0), 0});
  fixture.Arrive(1);
  const auto failed = fixture.LastActions<FailRequest>();
  cr_assert_eq(failed.size(), 1U);
  cr_assert(failed[0].error == ErrorKind::kNoTarget);
}

// Guards against a share that is rounded down to zero slots, so that trial
// requests never reach a recovering target.
Test(service_dispatcher, a_small_share_leaves_one_slot) {
  Fixture fixture(1);
  fixture.Send(TargetShareChanged{Target(0), 0.05});
  fixture.Arrive(1);
  cr_assert_eq(fixture.LastActions<StartAttempt>().size(), 1U);
  fixture.Arrive(2);
  cr_assert_eq(fixture.LastActions<StartAttempt>().size(), 0U);
}

// Guards against a request that ends twice when its caller disconnects.
Test(service_dispatcher, cancelled_request_ends_without_another_answer) {
  Fixture fixture(1);
  fixture.Arrive(1);
  fixture.Send(RequestCancelled{RequestId(1)});
  cr_assert_eq(fixture.LastActions<CancelAttempt>().size(), 1U);
  fixture.Finish(AttemptId(1), AttemptResult::kCancelled);
  cr_assert(fixture.LastActions<FailRequest>().empty());
  cr_assert_eq(fixture.dispatcher_.slots_in_use(), 0U);
}

// Guards against admitting a request that cannot meet its deadline, so that its
// caller gets the error too late to use another service.
Test(service_dispatcher, work_that_would_wait_too_long_is_rejected_at_once) {
  Fixture fixture(1, 1);
  for (std::uint64_t i = 1; i <= 30; ++i) {
    fixture.Arrive(i);
    fixture.now_ += milliseconds(100);
    fixture.Finish(AttemptId(i), AttemptResult::kAnswered);
  }
  // One slot and 100 ms per request: one runs, three wait up to 300 ms, and the
  // next would wait 400 ms and then need the p95 of up to 120 ms.
  std::size_t failed = 0;
  for (std::uint64_t i = 100; i < 110; ++i) {
    fixture.Arrive(i);
    for (const auto& failure : fixture.LastActions<FailRequest>()) {
      cr_assert(failure.error == ErrorKind::kDeadlineUnreachable);
      ++failed;
    }
  }
  cr_assert_eq(failed, 6U);
  cr_assert_eq(fixture.dispatcher_.queue_length(), 3U);
}

// Guards against one team that takes all slots.
Test(service_dispatcher, a_team_beyond_its_rate_is_rejected) {
  Fixture fixture(2);
  fixture.row_.team_rate = 1;
  fixture.row_.team_burst = 1;
  fixture.Configure();
  fixture.Arrive(1);
  fixture.Arrive(2);
  const auto failed = fixture.LastActions<FailRequest>();
  cr_assert_eq(failed.size(), 1U);
  cr_assert(failed[0].error == ErrorKind::kTeamLimit);
}

// Guards against a slow target that delays a repeatable request although
// another target is idle, and against hedging a non-repeatable request.
Test(service_dispatcher, only_repeatable_work_is_hedged) {
  for (const bool repeatable : {true, false}) {
    Fixture fixture(2, 1);
    fixture.row_.hedge_delay = milliseconds(50);
    fixture.Configure();
    fixture.Arrive(1, repeatable);
    const auto first = fixture.LastActions<StartAttempt>().at(0);
    fixture.now_ += milliseconds(50);
    fixture.Send(DispatchTimer{});
    const auto hedge = fixture.LastActions<StartAttempt>();
    cr_assert_eq(hedge.size(), repeatable ? 1U : 0U);
    if (repeatable) {
      cr_assert(hedge[0].target != first.target);
      fixture.Send(AttemptResponseStarted{hedge[0].attempt});
      cr_assert(fixture.LastActions<CancelAttempt>().at(0).attempt ==
                first.attempt);
    }
  }
}

// Guards against retries beyond the retry budget of the service.
Test(service_dispatcher, retries_stop_at_the_budget) {
  Fixture fixture(1);
  fixture.Arrive(1);
  fixture.Finish(AttemptId(1), AttemptResult::kConnectFailed);
  cr_assert_eq(fixture.LastActions<StartAttempt>().size(), 1U);
  fixture.Finish(AttemptId(2), AttemptResult::kConnectFailed);
  cr_assert(fixture.LastActions<StartAttempt>().empty());
  cr_assert(fixture.LastActions<FailRequest>().at(0).error ==
            ErrorKind::kConnectFailed);
}

// Guards against a request that never ends because its timeout was not
// reported.
Test(service_dispatcher, an_attempt_without_a_report_is_cancelled) {
  Fixture fixture(1);
  fixture.Arrive(1);
  fixture.now_ += milliseconds(550);
  fixture.Send(DispatchTimer{});
  cr_assert_eq(fixture.LastActions<CancelAttempt>().size(), 1U);
  cr_assert(fixture.LastActions<FailRequest>().at(0).error ==
            ErrorKind::kUpstreamTimeout);
}

}  // namespace
}  // namespace flamingoyoke
