#include "integration/soak/call_checks.h"

#include <criterion/criterion.h>

#include <chrono>
#include <vector>

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kClosed = TimePoint(seconds(100));

auto ArrivesLate(Duration delay,
                 CallEnd end,
                 const std::vector<Interval>& harmed = {}) -> bool {
  const SoakSettings settings{};
  const std::vector<GatewayHistory> gateways = {{.harmed = harmed}};
  const CallChecks checks(settings, gateways,
                          {.arrivals = {{"c-1", {kClosed + delay}}}});
  return checks.ArrivesAfterClose(
      {.id = "c-1", .time = {kClosed - seconds(1), kClosed}, .end = end});
}

// Whether a call of a route with a timeout of 2 s and a deadline of `deadline`
// reaches its timeout, and is held beyond it.
struct Held {
  bool reaches = false;
  bool is_held = false;
};
auto PlayTimeout(Duration length,
                 CallEnd end,
                 milliseconds deadline = seconds(5),
                 bool is_behind = false,
                 const std::vector<Interval>& harmed = {}) -> Held {
  SoakSettings settings{};
  settings.routes.push_back({.timeout = seconds(2), .deadline = deadline});
  const std::vector<GatewayHistory> gateways = {{.harmed = harmed}};
  const CallChecks checks(settings, gateways, {});
  const EndedCall call{
      .time = {kClosed - length, kClosed}, .is_behind = is_behind, .end = end};
  return {checks.ReachesTimeout(call), checks.IsHeld(call)};
}

auto IsTooMany(std::size_t unanswered, std::size_t reached) -> bool {
  return HeldCalls{.reached = reached, .unanswered = unanswered}.IsTooMany();
}

}  // namespace

// Guards against a check that overlooks requests which are passed on after
// their callers left, or that blames a gateway for a disruption.
Test(call_checks, finds_requests_whose_callers_have_left) {
  const auto late = milliseconds(501);
  cr_expect(ArrivesLate(late, CallEnd::kGivenUp));
  cr_expect(ArrivesLate(late, CallEnd::kReset));
  cr_expect_not(ArrivesLate(milliseconds(500), CallEnd::kGivenUp));
  cr_expect_not(ArrivesLate(late, CallEnd::kAnswered));
  cr_expect_not(ArrivesLate(late, CallEnd::kGivenUp,
                            {{kClosed - seconds(2), kClosed - seconds(1)}}));
}

// Guards against a check that overlooks calls which a gateway holds beyond the
// timeout of their route, or that counts calls with another reason to wait.
Test(call_checks, finds_calls_that_are_held_beyond_the_timeout) {
  const auto late = milliseconds(2501);
  cr_expect(PlayTimeout(late, CallEnd::kAnswered).is_held);
  cr_expect(PlayTimeout(late, CallEnd::kAnswered).reaches);
  cr_expect(PlayTimeout(late, CallEnd::kGivenUp).is_held);
  cr_expect_not(PlayTimeout(milliseconds(2500), CallEnd::kAnswered).is_held);
  cr_expect(PlayTimeout(milliseconds(2500), CallEnd::kAnswered).reaches);
  cr_expect_not(PlayTimeout(seconds(2), CallEnd::kAnswered).reaches);
  cr_expect_not(PlayTimeout(late, CallEnd::kNotSent).reaches);
  cr_expect_not(PlayTimeout(late, CallEnd::kUnexpected).reaches);
  cr_expect_not(PlayTimeout(late, CallEnd::kAnswered, seconds(2)).reaches);
  cr_expect_not(
      PlayTimeout(late, CallEnd::kAnswered, seconds(5), true).reaches);
  cr_expect_not(PlayTimeout(late, CallEnd::kAnswered, seconds(5), false,
                            {{kClosed - seconds(2), kClosed - seconds(1)}})
                    .reaches);
}

// Guards against a share of held calls that passes although users count it as
// broken, or the other way round.
Test(call_checks, judges_the_share_of_held_calls) {
  cr_expect_not(IsTooMany(0, 0));
  cr_expect_not(IsTooMany(1, 2));
  cr_expect(IsTooMany(2, 3));
  cr_expect_not(IsTooMany(7, 27));
  cr_expect_not(IsTooMany(8, 32));
  cr_expect(IsTooMany(8, 31));
}

}  // namespace flamingoyoke::integration
