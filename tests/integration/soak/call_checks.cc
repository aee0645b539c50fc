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

auto SaysNotRun(int status) -> bool {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

// Whether the target is no longer at work, and its answer was a failure.
auto HasFailed(const TargetRun& run) -> bool {
  return run.is_sound && run.status >= 500;
}

auto IsBrokenOff(const TargetRun& run) -> bool {
  return run.end && !run.is_sound;
}

}  // namespace

CallChecks::CallChecks(const SoakSettings& settings,
                       const std::vector<GatewayHistory>& gateways,
                       std::map<std::string, std::vector<TargetRun>> runs)
    : settings_(settings), gateways_(gateways), runs_(std::move(runs)) {}

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

auto CallChecks::RunsOf(const EndedCall& call) const
    -> const std::vector<TargetRun>& {
  static const std::vector<TargetRun> none;
  const auto found = runs_.find(call.id);
  return found == runs_.end() ? none : found->second;
}

auto CallChecks::CountBrokenOff() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [id, runs] : runs_) {
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
  const auto& harmed = gateways_[call.gateway].harmed;
  const bool is_harmed = std::any_of(
      harmed.begin(), harmed.end(),
      [&](const Interval& each) { return each.Overlaps(call.time); });
  return !is_harmed && !IsPastGrace(call);
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
