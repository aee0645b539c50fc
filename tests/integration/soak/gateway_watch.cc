#include "integration/soak/gateway_watch.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>
#include <utility>

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process may not have set its signal handlers before.
constexpr auto kStartTime = seconds(1);
// A gateway must not count as ready this long after a SIGTERM.
constexpr auto kReadyAfterStop = seconds(4);
constexpr auto kHarmTime = milliseconds(100);
constexpr auto kResumeTime = seconds(1);
constexpr std::size_t kGatewaysPerLimitedOne = 3;
constexpr auto kQuotaPeriod = milliseconds(100);
constexpr auto kQuotaTime = milliseconds(20);
// Lets the gateway, into which the shell turns, run for $2 after each pause of
// $1 seconds until it ends.
constexpr const char* kQuotaScript = R"(
  pause=$1 run=$2; shift 2
  (exec {timer}<> <(:)
   while kill -STOP $$ 2>/dev/null; do
     read -rt $pause -u $timer; kill -CONT $$; read -rt $run -u $timer
   done) &
  exec "$@")";
// A user without other processes.
constexpr const char* kUnusedUser = "--reuid=64321";

// Lets a gateway run for `time` of each period.
auto QuotaLauncher(milliseconds time) -> std::vector<std::string> {
  const auto to_seconds = [](milliseconds each) {
    return std::to_string(std::chrono::duration<double>(each).count());
  };
  return {"bash",
          "-c",
          kQuotaScript,
          "quota",
          to_seconds(kQuotaPeriod - time),
          to_seconds(time)};
}

// Whether process `pid` has set its handler of SIGTERM.
auto HandlesStop(pid_t pid) -> bool {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("SigCgt:")) {
      const auto caught =
          std::stoull(line.substr(line.find('\t')), nullptr, 16);
      return (caught >> (SIGTERM - 1) & 1) != 0;
    }
  }
  return false;
}

}  // namespace

GatewayWatch::GatewayWatch(PublishedStoreFleet& fleet,
                           const SoakSettings& settings,
                           SystemLimit limit,
                           Report report)
    : fleet_(fleet),
      settings_(settings),
      limit_(limit),
      report_(std::move(report)),
      processes_(fleet.gateways()),
      histories_(fleet.gateways()) {}

auto GatewayWatch::StartMore(std::size_t count) -> void {
  for (; count > 0; --count) {
    Start(started_++);
  }
}

auto GatewayWatch::Stop(std::size_t index) -> void {
  auto& process = processes_[index];
  if (!fleet_.gateway(index).IsRunning() || process.stopped) {
    return;
  }
  process.stopped = Now();
  process.had_handlers = HandlesStop(fleet_.gateway(index).pid());
  Trace(index, "SIGTERM");
  histories_[index].stops.push_back(Now());
  fleet_.gateway(index).Signal(SIGTERM);
}

auto GatewayWatch::SignalStopping(std::size_t index, int signal) -> void {
  if (processes_[index].stopped) {
    SignalIfRunning(index, signal);
  }
}

auto GatewayWatch::Reload(std::size_t index) -> void {
  SignalIfRunning(index, SIGHUP);
}

auto GatewayWatch::Kill(std::size_t index) -> void {
  processes_[index].is_killed = true;
  Trace(index, "SIGKILL");
  MarkHarmed(index, Now());
  SignalIfRunning(index, SIGKILL);
}

auto GatewayWatch::Pause(std::size_t index) -> void {
  auto& process = processes_[index];
  if (!process.paused) {
    process.paused = Now();
    Trace(index, "SIGSTOP");
    process.was_paused = true;
    SignalIfRunning(index, SIGSTOP);
  }
}

auto GatewayWatch::Resume(std::size_t index) -> void {
  const auto paused = std::exchange(processes_[index].paused, std::nullopt);
  if (paused) {
    SignalIfRunning(index, SIGCONT);
    Trace(index, "SIGCONT");
    histories_[index].harmed.push_back({*paused, Now() + kResumeTime});
  }
}

auto GatewayWatch::MarkHarmed(std::size_t index, TimePoint start) -> void {
  Trace(index, "disrupted");
  histories_[index].harmed.push_back({start - kHarmTime, Now() + kHarmTime});
}

auto GatewayWatch::Tick() -> void {
  for (std::size_t i = 0; i < started_; ++i) {
    if (processes_[i].has_ended) {
      continue;
    }
    if (fleet_.gateway(i).IsRunning()) {
      CheckStopping(i);
      continue;
    }
    CheckEnd(i, fleet_.gateway(i).WaitForExit(seconds(1)));
    processes_[i].has_ended = true;
    if (!is_ending_) {
      Start(i);
    }
  }
}

auto GatewayWatch::AreAllStable() const -> bool {
  return std::none_of(
      processes_.begin(), processes_.end(),
      [](const Process& each) { return each.stopped || each.is_killed; });
}

auto GatewayWatch::StopAll() -> void {
  is_ending_ = true;
  for (std::size_t i = 0; i < started_; ++i) {
    Resume(i);
    Stop(i);
  }
  const auto runs = [](const Process& each) { return !each.has_ended; };
  while (std::any_of(processes_.begin(),
                     processes_.begin() + static_cast<std::ptrdiff_t>(started_),
                     runs)) {
    Tick();
    std::this_thread::sleep_for(milliseconds(5));
  }
}

auto GatewayWatch::Start(std::size_t index) -> void {
  processes_[index] = {};
  histories_[index].starts.push_back(Now());
  fleet_.SetLauncher(index, Launcher(index));
  fleet_.StartGateway(index);
}

auto GatewayWatch::IsLimited(std::size_t index) const -> bool {
  return limit_ == SystemLimit::kOneCore || limit_ == SystemLimit::kTasks ||
         limit_ == SystemLimit::kScarceProcessor ||
         index % kGatewaysPerLimitedOne == 0;
}

auto GatewayWatch::Launcher(std::size_t index) const
    -> std::vector<std::string> {
  if (!IsLimited(index)) {
    return {};
  }
  switch (limit_) {
    case SystemLimit::kNone:
      return {};
    case SystemLimit::kQuota:
      return QuotaLauncher(kQuotaTime);
    case SystemLimit::kScarceProcessor:
      return QuotaLauncher(settings_.scarce_processor.run);
    case SystemLimit::kDescriptors256:
      return {"prlimit", "--nofile=256"};
    case SystemLimit::kDescriptors1024:
      return {"prlimit", "--nofile=1024"};
    case SystemLimit::kAddressSpace:
      return {"prlimit", "--as=160000000"};
    case SystemLimit::kFileSize:
      return {"prlimit", "--fsize=65536"};
    case SystemLimit::kOneCore:
      return {"taskset", "--cpu-list", "0"};
    case SystemLimit::kTasks:
      // The limit does not hold for root.
      return {"setpriv", kUnusedUser, "--clear-groups", "prlimit",
              "--nproc=512"};
  }
  return {};
}

auto GatewayWatch::CheckStopping(std::size_t index) -> void {
  auto& process = processes_[index];
  if (!process.stopped || process.is_killed) {
    return;
  }
  const auto name = "gateway " + std::to_string(index);
  const auto time = Now() - *process.stopped;
  if (time > kReadyAfterStop &&
      !std::exchange(process.is_readiness_checked, true) &&
      fleet_.IsReady(index)) {
    report_("DRAIN: " + name + " is ready 4 s after SIGTERM");
  }
  if (time > settings_.grace) {
    if (!process.was_paused) {
      report_("FAULT: " + name + " runs after its grace");
    }
    Kill(index);
  }
}

auto GatewayWatch::CheckEnd(std::size_t index, int code) -> void {
  const auto& process = processes_[index];
  const bool is_early = process.stopped && code == -SIGTERM &&
                        !process.had_handlers &&
                        *process.stopped - process.started < kStartTime;
  if (!process.is_killed && (!process.stopped || (code != 0 && !is_early))) {
    report_("FAULT: gateway " + std::to_string(index) + " ended with code " +
            std::to_string(code) +
            (process.stopped ? " after SIGTERM" : " by itself") + ", " +
            std::to_string(ToMilliseconds(Now() - process.started)) +
            " ms after its start");
  }
}

auto GatewayWatch::Trace(std::size_t index, const std::string& action) -> void {
  std::ofstream(fleet_.folder() + "/actions.log", std::ios::app)
      << WallClockMs() << " gateway " << index << " " << action << "\n";
}

auto GatewayWatch::SignalIfRunning(std::size_t index, int signal) -> void {
  if (fleet_.gateway(index).IsRunning()) {
    fleet_.gateway(index).Signal(signal);
  }
}

}  // namespace flamingoyoke::integration
