#include "integration/soak/call_checks.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A connection may end this long after a request that was not passed on.
constexpr auto kLossSlack = milliseconds(200);
// The time of a request ends here for its gateway, which has to answer before
// the caller leaves.
constexpr auto kDeadlineSlack = milliseconds(150);
// Requests sent later than this after a SIGTERM are not excused by its grace.
constexpr auto kLastSent = seconds(3);
// A request must not reach a target this long after its caller left.
constexpr auto kGoneTime = milliseconds(500);
// A gateway is in touch when it was undisturbed for this long.
constexpr auto kStableTime = seconds(3);

// An answer must come this long after the timeout of the route.
constexpr auto kHoldTime = milliseconds(500);
constexpr std::size_t kMostHeld = 7;

auto SaysNotRun(int status) -> bool {
  return status == 401 || status == 429 || status == 503 || status == 408 ||
         status == 421;
}

// Whether the target is no longer at work, and its answer was a failure.
auto HasFailed(const TargetRun& run) -> bool {
  return run.is_sound && run.status >= 500;
}

auto IsBrokenOff(const TargetRun& run) -> bool {
  return run.end && !run.is_sound;
}

}  // namespace

auto HeldCalls::IsTooMany() const -> bool {
  return unanswered * 2 > reached ||
         (unanswered > kMostHeld && unanswered * 4 > reached);
}

CallChecks::CallChecks(const SoakSettings& settings,
                       const std::vector<GatewayHistory>& gateways,
                       TargetLogs logs)
    : settings_(settings), gateways_(gateways), logs_(std::move(logs)) {}

auto CallChecks::Check(const EndedCall& call) const
    -> std::vector<std::string> {
  std::vector<std::string> broken;
  const bool is_safe = settings_.routes[call.route].kind == "safe";
  const bool is_success = call.status >= 200 && call.status < 300;
  // An answer without a request is right for none.
  if (is_success && !call.is_right) {
    broken.emplace_back("MIXED");
  }
  if (!is_safe && RunsOf(call).size() > 1) {
    broken.emplace_back("TWICE");
  }
  if (!is_safe && SaysNotRun(call.status) && !RunsOf(call).empty()) {
    broken.emplace_back("REFUSED");
  }
  if (IsLost(call)) {
    broken.emplace_back("LOST");
  }
  return broken;
}

auto CallChecks::ArrivesAfterClose(const EndedCall& call) const -> bool {
  const auto found = logs_.arrivals.find(call.id);
  const bool has_left = call.end == CallEnd::kGivenUp ||
                        call.end == CallEnd::kReset ||
                        call.end == CallEnd::kNotRead;
  if (!has_left || found == logs_.arrivals.end()) {
    return false;
  }
  const auto last =
      *std::max_element(found->second.begin(), found->second.end());
  return last > call.time.end + kGoneTime &&
         !IsHarmed(call.gateway, {call.time.end - kStableTime, last});
}

auto CallChecks::ReachesTimeout(const EndedCall& call) const -> bool {
  const auto& route = settings_.routes[call.route];
  const bool is_sent =
      call.end != CallEnd::kNotSent && call.end != CallEnd::kUnexpected;
  return is_sent && !call.is_behind &&
         route.deadline >= route.timeout + kHoldTime &&
         call.time.end > call.time.start + route.timeout &&
         !IsHarmed(call.gateway, call.time);
}

auto CallChecks::IsHeld(const EndedCall& call) const -> bool {
  return call.end != CallEnd::kAnswered ||
         call.time.end >
             call.time.start + settings_.routes[call.route].timeout + kHoldTime;
}

auto CallChecks::RunsOf(const EndedCall& call) const
    -> const std::vector<TargetRun>& {
  static const std::vector<TargetRun> none;
  const auto found = logs_.runs.find(call.id);
  return found == logs_.runs.end() ? none : found->second;
}

auto CallChecks::CountBrokenOff() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [id, runs] : logs_.runs) {
    count += std::count_if(runs.begin(), runs.end(), IsBrokenOff);
  }
  return count;
}

auto CallChecks::IsLost(const EndedCall& call) const -> bool {
  const auto& route = settings_.routes[call.route];
  const auto& runs = RunsOf(call);
  const auto length = call.time.end - call.time.start;
  const bool is_closed =
      call.end == CallEnd::kClosed || call.end == CallEnd::kNotRead;
  const bool is_replaced = call.end == CallEnd::kAnswered &&
                           call.status >= 300 && !call.is_signed &&
                           !std::all_of(runs.begin(), runs.end(), HasFailed);
  if (!is_closed && !is_replaced) {
    return false;
  }
  if (runs.empty() && (call.is_behind || length < kLossSlack)) {
    return false;
  }
  const bool has_broken_off =
      std::any_of(runs.begin(), runs.end(), IsBrokenOff);
  if (has_broken_off ||
      length + kDeadlineSlack >= std::min(route.timeout, route.deadline)) {
    return false;
  }
  return !IsHarmed(call.gateway, call.time) && !IsPastGrace(call);
}

auto CallChecks::IsHarmed(std::size_t gateway, const Interval& time) const
    -> bool {
  const auto& harmed = gateways_[gateway].harmed;
  return std::any_of(harmed.begin(), harmed.end(),
                     [&](const Interval& each) { return each.Overlaps(time); });
}

auto CallChecks::IsPastGrace(const EndedCall& call) const -> bool {
  const auto& runs = RunsOf(call);
  return std::any_of(
      gateways_[call.gateway].stops.begin(),
      gateways_[call.gateway].stops.end(), [&](TimePoint stop) {
        const auto last_sixth = stop + settings_.grace * 5 / 6;
        return call.time.start <= stop + kLastSent &&
               call.time.end > last_sixth &&
               call.time.end < stop + settings_.grace + seconds(1) &&
               std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
                 return !run.end || *run.end > last_sixth;
               });
      });
}

}  // namespace flamingoyoke::integration
