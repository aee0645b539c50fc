#include "integration/soak/soak.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>

#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kServiceMs = 20;
constexpr std::size_t kTargetsPerLinkLoss = 3;
// The bounds on changes hold once the store has been back from a copy for this
// long.
constexpr auto kStableWindow = seconds(3);
// More requests than this of a run must not reach a target after their callers
// left.
constexpr int kMostLateCalls = 3;
constexpr std::uint64_t kShortestFaultGapMs = 20;
constexpr std::size_t kMostCalls = 1 << 20;
constexpr std::size_t kMostCallerMessages = 1 << 12;

// Returns the settings with the load that the fleet can serve under `limit`.
auto WithLoadUnder(SystemLimit limit, SoakSettings settings) -> SoakSettings {
  if (limit == SystemLimit::kScarceProcessor) {
    settings.callers = settings.scarce_processor.callers;
    settings.requests_per_s = settings.scarce_processor.requests_per_s;
  }
  return settings;
}

auto ToTimePoint(const nlohmann::json& microseconds) -> TimePoint {
  return TimePoint(Duration(microseconds.get<std::int64_t>()));
}

}  // namespace

Soak::Soak(std::uint64_t seed, const SoakSettings& settings)
    : seed_(seed),
      limit_(settings.limits.at(seed % settings.limits.size())),
      settings_(WithLoadUnder(limit_, settings)),
      random_(seed),
      fleet_(FleetSize{.targets = settings.targets,
                       .service_ms = kServiceMs,
                       .slots = settings.slots,
                       .targets_per_link_loss = kTargetsPerLinkLoss,
                       .gateways = settings.gateways + settings.added_gateways,
                       .hard_limit = settings.grace,
                       .address_ttl = settings.address_ttl}),
      ended_(kMostCalls),
      caller_mailbox_(kMostCallerMessages),
      gateways_(fleet_,
                settings_,
                limit_,
                [this](const std::string& what) { Report(what); }),
      store_(fleet_, settings_),
      faults_(settings_, random_, fleet_, gateways_, store_, caller_mailbox_),
      callers_("callers", caller_mailbox_, [this] { return MakeCallers(); }) {
  gateways_.StartMore(settings.gateways);
}

auto Soak::Run() -> std::vector<std::string> {
  WaitForReady();
  std::optional<Error> failure;
  callers_.Start([&](const std::optional<Error>& error) { failure = error; });
  for (std::size_t i = 0; i < settings_.storms; ++i) {
    PlayStorm();
    PlayCalm(i);
  }
  callers_.RequestStop(StopMode::kGraceful);
  callers_.Join();
  if (failure) {
    Report("the callers failed: " + failure->detail);
  }
  CheckCalls();
  gateways_.StopAll();
  if (!broken_.empty()) {
    KeepLogs();
  }
  return std::move(broken_);
}

auto Soak::MakeCallers() -> std::unique_ptr<CallerTask> {
  std::vector<GatewayEndpoints> endpoints;
  for (std::size_t i = 0; i < fleet_.gateways(); ++i) {
    endpoints.push_back({fleet_.FrontOf(i), fleet_.DirectoryOf(i)});
  }
  return std::make_unique<CallerTask>(settings_, std::move(endpoints), seed_,
                                      ended_);
}

auto Soak::Report(const std::string& what) -> void {
  broken_.push_back("seed " + std::to_string(seed_) + " at " +
                    std::to_string(ToMilliseconds(Now() - start_)) +
                    " ms: " + what);
  std::puts(broken_.back().c_str());
}

auto Soak::Tick() -> void {
  faults_.Tick();
  gateways_.Tick();
}

auto Soak::WaitUntilTime(TimePoint end) -> void {
  while (Now() < end) {
    Tick();
    std::this_thread::sleep_for(milliseconds(5));
  }
}

auto Soak::WaitForReady() -> void {
  for (std::size_t i = 0; i < gateways_.started(); ++i) {
    const auto end = Now() + kFleetTimeout;
    while (!fleet_.IsReady(i)) {
      if (Now() > end) {
        Report("FAULT: gateway " + std::to_string(i) + " does not start");
        break;
      }
      WaitUntilTime(Now() + milliseconds(20));
    }
  }
}

auto Soak::PlayStorm() -> void {
  const auto end = Now() + settings_.storm;
  faults_.Play(faults_.PickRoll());
  if (random_.Below(2) == 0) {
    faults_.Play(faults_.PickStoreReturn());
  }
  for (std::size_t team = 0; team < settings_.teams.size(); ++team) {
    if (settings_.teams[team].rate_per_s > 0) {
      faults_.Play(faults_.PickLimit(team));
    }
  }
  faults_.Play(faults_.PickKeyLoss());
  while (Now() < end) {
    faults_.PlayRandom();
    if (random_.Below(4) == 0) {
      faults_.Play(faults_.PickKeyLoss());
    }
    if (random_.Below(3) > 0) {
      faults_.Play(faults_.PickHarm());
    }
    WaitUntilTime(Now() +
                  faults_.RandomTime(kShortestFaultGapMs,
                                     static_cast<std::uint64_t>(
                                         settings_.longest_fault_gap.count())));
  }
  while (!faults_.IsIdle() || !gateways_.AreAllStable()) {
    WaitUntilTime(Now() + milliseconds(20));
  }
  if (gateways_.started() < fleet_.gateways()) {
    gateways_.StartMore(settings_.added_gateways);
  }
  WaitForReady();
}

auto Soak::PlayCalm(std::size_t storm) -> void {
  auto stable = TimePoint();
  auto change = Now() + kInTouchTime;
  // The store may be back just before the change.
  if (random_.Below(3) == 0) {
    auto fault = faults_.PickStoreReturn();
    fault.age = kInTouchTime;
    fault.returns = 1;
    faults_.Play(fault);
    change += fault.away;
    stable = change + kStableWindow;
  }
  WaitUntilTime(change);
  const auto target = random_.Below(fleet_.targets());
  const bool is_removed = random_.Below(2) == 0;
  const bool has_compacted = random_.Below(3) == 0;
  const auto path = "/new-" + std::to_string(storm) + "/";
  const auto end = faults_.PickWatchEnd();
  if (has_compacted) {
    fleet_.SendToStore("PUT", "/control/lists?cut=1");
  }
  fleet_.EndAllWatches(end);
  if (is_removed) {
    fleet_.Unregister(target, has_compacted ? "&compact=1" : "");
  } else {
    store_.Register(target, "draining");
  }
  store_.AddRoute(path);
  const auto key = faults_.PickKeyLoss().key;
  store_.TakeKey(key);
  const auto acknowledged = Now();
  if (has_compacted) {
    fleet_.EndAllWatches("cut");
    fleet_.SendToStore("PUT", "/control/lists?cut=0");
  }
  const auto due = std::max(acknowledged + kApplyTime, stable);
  WaitUntilTime(due);
  CheckRoute(path, end);
  WaitUntilTime(Now() + seconds(1));
  if (const auto late = DescribeArrivals(target, due); !late.empty()) {
    Report("DRAIN: requests reach target " + std::to_string(target) +
           (is_removed ? ", which was removed" : ", which drains") +
           ", after the watches ended as " + end + ", acknowledged at " +
           SinceStart(acknowledged) + ":" + late);
  }
  store_.GiveKeyBack(key);
  store_.Register(target, "ready");
}

auto Soak::CheckRoute(const std::string& path, const std::string& end) -> void {
  for (std::size_t i = 0; i < gateways_.started(); ++i) {
    auto server = fleet_.FrontOf(i);
    server.text = kSoakHost;
    auto id = path;
    id += std::to_string(i);
    const auto answer =
        fleet_.http().Send({.server = server,
                            .target = path + "1",
                            .headers = {{"X-Key", kOperatorKey},
                                        {"X-Request-Id", id},
                                        {"X-Request-Deadline-Ms", "3000"}}});
    if (answer.status == kNotFound) {
      auto failure = "CONFIG: gateway " + std::to_string(i);
      failure += " has no route " + path;
      failure += " after the watches ended as " + end;
      Report(failure);
    }
  }
}

auto Soak::DescribeArrivals(std::size_t target, TimePoint time) -> std::string {
  const auto counters = fleet_.target(target).Counters(fleet_.http());
  std::string text;
  for (const auto& arrival : counters.at("arrivals")) {
    if (const auto at = ToTimePoint(arrival.at("at_us")); at > time) {
      text +=
          " " + arrival.at("id").get<std::string>() + " at " + SinceStart(at);
    }
  }
  return text;
}

auto Soak::SinceStart(TimePoint time) const -> std::string {
  return std::to_string(ToMilliseconds(time - start_));
}

auto Soak::CollectTargetLogs() -> TargetLogs {
  TargetLogs logs;
  for (std::size_t i = 0; i < fleet_.targets(); ++i) {
    const auto counters = fleet_.target(i).Counters(fleet_.http());
    for (const auto& arrival : counters.at("arrivals")) {
      logs.arrivals[arrival.at("id")].push_back(
          ToTimePoint(arrival.at("at_us")));
      logs.teams[arrival.at("id")].push_back(arrival.at("team"));
    }
    logs.with_key += counters.at("with_key").get<std::size_t>();
    for (const auto& run : counters.at("log")) {
      auto& added = logs.runs[run.at("id")].emplace_back();
      added.start = ToTimePoint(run.at("start_us"));
      if (run.contains("end_us")) {
        added.end = ToTimePoint(run.at("end_us"));
      }
      added.is_sound = run.at("is_sound");
      added.status = run.at("status");
    }
  }
  return logs;
}

auto Soak::CheckCalls() -> void {
  const auto logs = CollectTargetLogs();
  const CallChecks checks(settings_, gateways_.histories(), logs);
  const TeamChecks team_checks(settings_, gateways_.histories(),
                               store_.history(), logs);
  std::vector<EndedCall> ended;
  int refused = 0;
  int served = 0;
  int closed = 0;
  int given_up = 0;
  int calls = 0;
  std::string late;
  int late_calls = 0;
  HeldCalls held;
  std::string held_calls;
  for (const auto& message : ended_.TakeAll()) {
    const auto& call = std::get<EndedCall>(message);
    ended.push_back(call);
    ++calls;
    refused += team_checks.IsRefused(call) ? 1 : 0;
    served += call.status == 200 ? 1 : 0;
    closed += call.end == CallEnd::kClosed ? 1 : 0;
    given_up += call.end == CallEnd::kGivenUp ? 1 : 0;
    if (checks.ArrivesAfterClose(call)) {
      ++late_calls;
      late += " " + call.id + " to gateway " + std::to_string(call.gateway) +
              ", closed at " + SinceStart(call.time.end);
    }
    if (checks.ReachesTimeout(call)) {
      ++held.reached;
      if (checks.IsHeld(call)) {
        ++held.unanswered;
        held_calls += "; " + DescribeCall(checks, call);
      }
    }
    auto promises = checks.Check(call);
    std::ranges::move(team_checks.Check(call), std::back_inserter(promises));
    for (const auto& promise : promises) {
      Report(promise + ": " + DescribeCall(checks, call));
    }
  }
  std::size_t stops = 0;
  for (const auto& history : gateways_.histories()) {
    stops += history.stops.size();
  }
  int early = 0;
  for (std::size_t i = 0; i < fleet_.targets(); ++i) {
    early += fleet_.target(i).Counters(fleet_.http())["early"].get<int>();
  }
  printf(
      "soak: seed %lu, limit %s: %d of %d calls served, %d without an "
      "answer, %d given up, %d reached a target after their callers left; "
      "%zu stops, %zu answers broken off, %d early, store in era %d; %zu of "
      "%zu unanswered at their timeout are held\n",
      static_cast<unsigned long>(seed_), std::string(ToName(limit_)).c_str(),
      served, calls, closed, given_up, late_calls, stops,
      checks.CountBrokenOff(), early,
      fleet_.StoreCounters().at("era").get<int>(), held.unanswered,
      held.reached);
  std::fflush(stdout);
  if (late_calls > kMostLateCalls) {
    Report("GONE: " + std::to_string(late_calls) +
           " requests reach a target after their callers left:" + late);
  }
  if (held.IsTooMany()) {
    Report("TIMEOUT: " + std::to_string(held.unanswered) + " of " +
           std::to_string(held.reached) +
           " calls without an answer at the timeout of their route have none "
           "500 ms later" +
           held_calls);
  }
  // Calls that had to be refused do not count.
  if (calls == refused || served * 4 < calls - refused) {
    Report("RECOVER: only " + std::to_string(served) + " of " +
           std::to_string(calls - refused) + " calls were served");
  }
  CheckTeams(team_checks, ended, logs);
}

auto Soak::CheckTeams(const TeamChecks& checks,
                      const std::vector<EndedCall>& calls,
                      const TargetLogs& logs) -> void {
  std::size_t absences = 0;
  for (const auto& [key, each] : store_.history().absences) {
    absences += each.size();
  }
  const auto unauthorized =
      std::ranges::count(calls, kUnauthorized, &EndedCall::status);
  auto summary = std::to_string(absences) + " absences of keys, " +
                 std::to_string(unauthorized) + " calls answered 401";
  std::vector<std::string> exceeded;
  for (const auto& peak : checks.FindPeaks(calls)) {
    const auto refused = std::ranges::count_if(calls, [&](const auto& call) {
      return call.is_over_limit && call.team == peak.team;
    });
    const auto text =
        std::to_string(peak.requests) + " of " + std::to_string(peak.allowed) +
        " requests of team " + settings_.teams[peak.team].name +
        " reach targets in the 5 s from " + SinceStart(peak.start);
    summary += ", " + text + " ms and " + std::to_string(refused) +
               " of all are refused";
    if (peak.requests > peak.allowed) {
      exceeded.push_back("QUOTA: " + text);
    }
  }
  printf("soak: seed %lu, %s\n", static_cast<unsigned long>(seed_),
         summary.c_str());
  std::fflush(stdout);
  for (const auto& text : exceeded) {
    Report(text);
  }
  if (logs.with_key > 0) {
    Report("KEY: " + std::to_string(logs.with_key) +
           " requests reach targets with the keys of their callers");
  }
}

auto Soak::DescribeCall(const CallChecks& checks, const EndedCall& call)
    -> std::string {
  auto text = "call " + call.id + " of " + settings_.routes[call.route].prefix +
              " to gateway " + std::to_string(call.gateway) + ", " +
              SinceStart(call.time.start) + " to " + SinceStart(call.time.end) +
              " ms, status " + std::to_string(call.status) + ", end " +
              std::string(ToName(call.end)) + ", key " + call.key +
              (call.is_kept ? ", kept" : ", new") +
              (call.is_behind ? ", behind" : "");
  for (const auto& run : checks.RunsOf(call)) {
    text += ", ran from " + SinceStart(run.start) + " to " +
            (run.end ? SinceStart(*run.end) : "?") +
            (run.is_sound ? "" : " without an answer");
  }
  for (const auto& stop : gateways_.histories()[call.gateway].stops) {
    text += ", SIGTERM " + SinceStart(stop);
  }
  text += DescribeAbsences(call.key);
  return text;
}

auto Soak::DescribeAbsences(const std::string& key) -> std::string {
  const auto& absences = store_.history().absences;
  const auto found = absences.find(key);
  std::string text;
  if (found != absences.end()) {
    for (const auto& absence : found->second) {
      text += ", key removed " + SinceStart(absence.removed.end) +
              " and returned " +
              (absence.returned ? SinceStart(absence.returned->start) : "?");
    }
  }
  return text;
}

auto Soak::KeepLogs() -> void {
  const auto kept = fleet_.folder() + "-seed-" + std::to_string(seed_);
  std::filesystem::copy(fleet_.folder(), kept);
  broken_.push_back("logs: " + kept);
}

}  // namespace flamingoyoke::integration
