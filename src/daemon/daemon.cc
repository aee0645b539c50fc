#include "daemon/daemon.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "core/time.h"
#include "daemon/process_limits.h"
#include "daemon/signal_watch.h"
#include "daemon/startup_wait.h"
#include "node/log.h"
#include "node/node.h"
#include "runtime/event_loop.h"
#include "runtime/resource_check.h"
#include "runtime/system_limits.h"
#include "settings/settings.h"

namespace flamingoyoke {
namespace {

// Exit codes, documented in docs/operations/install.md.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
// How long the exit waits for the log reader to take the last lines. Enough for
// a slow reader; a reader that hangs must not block the exit.
constexpr Duration kLogFlushTimeout = std::chrono::milliseconds(300);

// Taken at the start: the threads of the log, of the task that serves callers
// and of libzmq (two), and the descriptors of all tasks.
constexpr ResourceNeed kProcessNeed{.threads = 4, .descriptors = 48};

auto ReadFile(const std::string& path) -> std::optional<std::string> {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Reads and validates the settings file. Returns an error message on failure.
auto LoadSettings(const std::string& path, std::optional<Settings>& settings)
    -> std::optional<std::string> {
  const auto text = ReadFile(path);
  if (!text) {
    return "cannot read " + path + "; check the path";
  }
  const auto error = CaptureInto(settings, [&] { return ReadSettings(*text); });
  if (error) {
    return path + " is not valid:\n" + error->detail;
  }
  return std::nullopt;
}

// Validates the settings file on SIGHUP, so that errors are reported before the
// next restart. A running process keeps the settings it started with: addresses
// and seeds take effect only at startup.
auto RevalidateSettings(const std::string& path) -> void {
  std::optional<Settings> settings;
  if (const auto message = LoadSettings(path, settings)) {
    Log(Part::kNode, LogLevel::kError,
        "the settings file would prevent the next start: " + *message);
    return;
  }
  Log(Part::kNode, LogLevel::kInfo,
      "the settings file is valid; changes take effect at the next start");
}

// Waits until the system grants all that the process needs at its start, before
// anything takes a part of it, and starts the log's thread. Otherwise,
// processes that each got a part would keep one another from starting. Raises
// the limit of descriptors.
auto WaitForResources() -> StartupResult {
  return RetryWhileRefused([]() -> Result<void> {
    RaiseDescriptorLimit();
    BOOST_LEAF_CHECK(CheckResources(kProcessNeed));
    StartLogWriter();
    return {};
  });
}

auto RunNode(const Settings& settings,
             const std::string& settings_path,
             const DaemonOptions& options) -> int {
  std::optional<EventLoop> loop;
  std::optional<Node> node;
  const auto prepared = RetryWhileRefused([&]() -> Result<void> {
    loop.emplace();
    node.emplace(settings, options.dialect);
    return {};
  });
  if (prepared == StartupResult::kStopped) {
    return kExitOk;
  }
  std::optional<Error> failure;
  const SignalWatch signals(
      *loop,
      [&](int count) {
        if (count > 1) {
          Log(Part::kNode, LogLevel::kInfo,
              "already stopping; requests in flight are finished until "
              "shutdown.hard_limit_ms");
          return;
        }
        Log(Part::kNode, LogLevel::kInfo, "stopping gracefully");
        node->Stop(StopMode::kGraceful);
      },
      [&] { RevalidateSettings(settings_path); });
  Log(Part::kNode, LogLevel::kInfo,
      "starting vm " + settings.vm.id.value() + " in failure domain " +
          settings.vm.failure_domain.value());
  Log(Part::kNode, LogLevel::kInfo, "limits: " + Describe(ReadSystemLimits()));
  node->Start(*loop, [&](std::optional<Error> error) {
    failure = std::move(error);
    loop->Quit();
  });
  loop->Run();
  if (failure) {
    Log(Part::kNode, LogLevel::kError,
        "exited with an error: " + failure->detail);
    return kExitFailed;
  }
  Log(Part::kNode, LogLevel::kInfo, "exited");
  return kExitOk;
}

auto Run(int argc, char** argv, const DaemonOptions& options) -> int {
  CLI::App app("Daemon of one VM in a flamingoyoke fleet.");
  app.set_version_flag("--version", options.name + " " + options.version);
  std::string settings_path;
  auto* option =
      app.add_option("--settings", settings_path, "Settings file (JSON)")
          ->required();
  if (!options.settings_variable.empty()) {
    option->envname(options.settings_variable);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  std::optional<Settings> settings;
  if (const auto message = LoadSettings(settings_path, settings)) {
    std::fprintf(stderr, "%s: %s\n", options.name.c_str(), message->c_str());
    return kExitSettings;
  }
  if (settings->gateway.source == ServiceSource::kPublished &&
      !options.dialect) {
    std::fprintf(stderr,
                 "%s: gateway.source is \"published\", but this daemon "
                 "supports no published store\n",
                 options.name.c_str());
    return kExitSettings;
  }
  ConfigureLog(settings->log.level, settings->log.format);
  if (WaitForResources() == StartupResult::kStopped) {
    return kExitOk;
  }
  const auto code = RunNode(*settings, settings_path, options);
  if (!StopLog(kLogFlushTimeout)) {
    // The log thread is blocked on its reader and cannot be joined.
    std::_Exit(code);
  }
  return code;
}

}  // namespace

auto RunDaemon(int argc, char** argv, const DaemonOptions& options) -> int {
  // The default action would end a process that is told to reload its settings
  // while it starts.
  std::signal(SIGHUP, SIG_IGN);
  // The default action would end the process when the file that its output goes
  // to reaches the limit on the size of files.
  std::signal(SIGXFSZ, SIG_IGN);
  LimitAddressSpace();
  try {
    return Run(argc, argv, options);
  } catch (const std::exception& exception) {
    // The system refused memory, a thread or a descriptor outside of any task.
    std::fprintf(stderr, "%s: %s\n", options.name.c_str(), exception.what());
    return kExitFailed;
  }
}

}  // namespace flamingoyoke
