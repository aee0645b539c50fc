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

}  // namespace flamingoyoke::integration
