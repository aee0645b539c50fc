#include "integration/soak/team_checks.h"

#include <algorithm>

namespace flamingoyoke::integration {
namespace {

using std::chrono::seconds;

constexpr int kUnauthorized = 401;
// In any time of this length at most
// (rate * kQuotaWindow + burst) * kTolerance + kSlack requests of a team run.
constexpr auto kQuotaWindow = seconds(5);
constexpr double kTolerance = 1.25;
constexpr double kSlack = 20;

auto OverlapsAny(const std::vector<Interval>& intervals, const Interval& time)
    -> bool {
  return std::any_of(intervals.begin(), intervals.end(),
                     [&](const Interval& each) { return each.Overlaps(time); });
}

auto Bound(const PublishedLimit& limit) -> std::size_t {
  const auto in_window =
      limit.rate_per_s * static_cast<double>(kQuotaWindow.count()) +
      limit.burst;
  return static_cast<std::size_t>(in_window * kTolerance + kSlack);
}

// Whether the process of a gateway was not being stopped at any moment of
// `time`, and started before.
auto HasRun(const GatewayHistory& gateway, const Interval& time) -> bool {
  const auto started =
      std::upper_bound(gateway.starts.begin(), gateway.starts.end(), time.end);
  return started != gateway.starts.begin() && *(started - 1) < time.start &&
         std::none_of(gateway.stops.begin(), gateway.stops.end(),
                      [&](TimePoint stop) {
                        return stop >= *(started - 1) && stop < time.end;
                      });
}

}  // namespace

TeamChecks::TeamChecks(const SoakSettings& settings,
                       const std::vector<GatewayHistory>& gateways,
                       const TeamHistory& history,
                       const TargetLogs& logs)
    : settings_(settings),
      gateways_(gateways),
      history_(history),
      logs_(logs) {}

auto TeamChecks::Check(const EndedCall& call) const
    -> std::vector<std::string> {
  std::vector<std::string> broken;
  if (RunsWithoutKey(call)) {
    broken.emplace_back("REVOKED");
  }
  if (IsRefusedWithKey(call)) {
    broken.emplace_back("UNAUTHORIZED");
  }
  if (NamesOtherTeam(call)) {
    broken.emplace_back("TEAM");
  }
  if (call.is_over_limit && settings_.teams[call.team].rate_per_s == 0) {
    broken.emplace_back("UNLIMITED");
  }
  return broken;
}

auto TeamChecks::IsRefused(const EndedCall& call) const -> bool {
  return (call.status == kUnauthorized && !IsRefusedWithKey(call)) ||
         (call.is_over_limit && settings_.teams[call.team].rate_per_s > 0);
}

auto TeamChecks::FindPeaks(const std::vector<EndedCall>& calls) const
    -> std::vector<QuotaPeak> {
  std::vector<std::vector<TimePoint>> arrivals(settings_.teams.size());
  for (const auto& call : calls) {
    // A request that is tried again counts once.
    if (const auto found = logs_.arrivals.find(call.id);
        found != logs_.arrivals.end()) {
      arrivals[call.team].push_back(
          *std::min_element(found->second.begin(), found->second.end()));
    }
  }
  std::vector<QuotaPeak> peaks;
  for (std::size_t team = 0; team < arrivals.size(); ++team) {
    if (settings_.teams[team].rate_per_s == 0) {
      continue;
    }
    auto& times = arrivals[team];
    std::sort(times.begin(), times.end());
    QuotaPeak peak;
    peak.team = team;
    for (auto first = times.begin(); first != times.end(); ++first) {
      const Interval window{*first, *first + kQuotaWindow};
      const auto last = std::lower_bound(first, times.end(), window.end);
      const auto requests = static_cast<std::size_t>(last - first);
      const auto allowed = Allowed(team, window);
      if (requests * std::max<std::size_t>(peak.allowed, 1) >
          peak.requests * allowed) {
        peak = {team, window.start, requests, allowed};
      }
    }
    peaks.push_back(peak);
  }
  return peaks;
}

auto TeamChecks::RunsWithoutKey(const EndedCall& call) const -> bool {
  const auto found = logs_.arrivals.find(call.id);
  const auto& absences = AbsencesOf(call.key);
  if (found == logs_.arrivals.end() || absences.empty()) {
    return false;
  }
  return std::any_of(
      found->second.begin(), found->second.end(), [&](TimePoint arrival) {
        return IsInTouch(call.gateway, {arrival, arrival}) &&
               std::any_of(absences.begin(), absences.end(),
                           [&](const KeyAbsence& absence) {
                             return arrival >
                                        absence.removed.end + kApplyTime &&
                                    (!absence.returned ||
                                     arrival < absence.returned->start);
                           });
      });
}

auto TeamChecks::IsRefusedWithKey(const EndedCall& call) const -> bool {
  if (call.status != kUnauthorized) {
    return false;
  }
  const auto& absences = AbsencesOf(call.key);
  // A key that never left is valid in each version that a gateway can have.
  if (absences.empty()) {
    return true;
  }
  const bool may_be_absent = std::any_of(
      absences.begin(), absences.end(), [&](const KeyAbsence& absence) {
        return absence.removed.start <= call.time.end &&
               (!absence.returned ||
                call.time.start <= absence.returned->end + kApplyTime);
      });
  return !may_be_absent && IsInTouch(call.gateway, call.time);
}

auto TeamChecks::NamesOtherTeam(const EndedCall& call) const -> bool {
  const auto found = logs_.teams.find(call.id);
  return found != logs_.teams.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const std::string& name) {
                       return name != settings_.teams[call.team].name;
                     });
}

auto TeamChecks::IsInTouch(std::size_t gateway, Interval time) const -> bool {
  time.start -= kInTouchTime;
  const auto& history = gateways_[gateway];
  return HasRun(history, time) && !OverlapsAny(history.harmed, time) &&
         !OverlapsAny(history_.store_away, time);
}

auto TeamChecks::AbsencesOf(const std::string& key) const
    -> const std::vector<KeyAbsence>& {
  static const std::vector<KeyAbsence> none;
  const auto found = history_.absences.find(key);
  return found == history_.absences.end() ? none : found->second;
}

auto TeamChecks::Allowed(std::size_t team, const Interval& time) const
    -> std::size_t {
  const Interval noticed{time.start - kApplyTime, time.end};
  // Gateways may use any version while the store is away.
  const bool is_away = OverlapsAny(history_.store_away, noticed);
  const auto& limits = history_.limits[team];
  std::size_t allowed = 0;
  for (std::size_t i = 0; i < limits.size(); ++i) {
    const bool is_replaced =
        i + 1 < limits.size() && limits[i + 1].published.end <= noticed.start;
    if (limits[i].published.start < time.end && (!is_replaced || is_away)) {
      allowed = std::max(allowed, Bound(limits[i]));
    }
  }
  return allowed;
}

}  // namespace flamingoyoke::integration
