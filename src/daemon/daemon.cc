#include "daemon/daemon.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "core/time.h"
#include "daemon/signal_watch.h"
#include "node/log.h"
#include "node/node.h"
#include "runtime/event_loop.h"
#include "runtime/wake_descriptor.h"
#include "settings/settings.h"

namespace flamingoyoke {
namespace {

// Exit codes, documented in docs/operations/install.md.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
// A reader that is merely slow takes the last lines within this; one that hangs
// must not keep the process from its end.
constexpr Duration kLastLinesPatience = std::chrono::milliseconds(300);

auto ReadFile(const std::string& path) -> std::optional<std::string> {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Returns the settings, or what is wrong with the file.
auto LoadSettings(const std::string& path, std::optional<Settings>& settings)
    -> std::optional<std::string> {
  const auto text = ReadFile(path);
  if (!text) {
    return "cannot read " + path + "; check the path";
  }
  const auto error = CaptureInto(settings, [&] { return ReadSettings(*text); });
  if (error) {
    return path + " is not valid; correct:\n" + error->detail;
  }
  return std::nullopt;
}

// A running process keeps the settings that it started with: addresses and
// seeds matter only at a start. A faulty file is reported before a restart
// meets it.
auto CheckSettingsAgain(const std::string& path) -> void {
  std::optional<Settings> settings;
  if (const auto fault = LoadSettings(path, settings)) {
    Log(Part::kNode, LogLevel::kError,
        "the changed settings would not start: " + *fault);
    return;
  }
  Log(Part::kNode, LogLevel::kInfo,
      "the settings were read again and are valid; they apply at the next "
      "start");
}

auto RunNode(const Settings& settings,
             const std::string& settings_path,
             const DaemonOptions& options) -> int {
  EventLoop loop;
  WakeDescriptor ended;
  std::optional<Error> failure;
  Node node(settings, options.dialect);
  const SignalWatch signals(
      loop,
      [&](int count) {
        Log(Part::kNode, LogLevel::kInfo,
            count == 1 ? "stops gracefully" : "stops at once");
        node.Stop(count == 1 ? StopMode::kGraceful : StopMode::kHard);
      },
      [&] { CheckSettingsAgain(settings_path); });
  const auto watch =
      loop.WatchReadable(ended.descriptor(), [&] { loop.Quit(); });
  Log(Part::kNode, LogLevel::kInfo,
      "starts vm " + settings.vm.id.value() + " in " +
          settings.vm.failure_domain.value());
  // The descriptor orders the write of `failure` before its read below.
  node.Start([&](std::optional<Error> error) {
    failure = std::move(error);
    ended.Signal();
  });
  loop.Run();
  if (failure) {
    Log(Part::kNode, LogLevel::kError, "ended: " + failure->detail);
    return kExitFailed;
  }
  Log(Part::kNode, LogLevel::kInfo, "ended");
  return kExitOk;
}

}  // namespace

auto RunDaemon(int argc, char** argv, const DaemonOptions& options) -> int {
  CLI::App app("Daemon of one vm of a flamingoyoke fleet.");
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
  if (const auto fault = LoadSettings(settings_path, settings)) {
    std::fprintf(stderr, "%s: %s\n", options.name.c_str(), fault->c_str());
    return kExitSettings;
  }
  if (settings->gateway.source == ServiceSource::kPublished &&
      !options.dialect) {
    std::fprintf(stderr,
                 "%s: gateway.source is \"published\", but this daemon knows "
                 "no published store\n",
                 options.name.c_str());
    return kExitSettings;
  }
  ConfigureLog(settings->log.level, settings->log.format);
  const auto code = RunNode(*settings, settings_path, options);
  if (!StopLog(kLastLinesPatience)) {
    // The thread that waits for the reader cannot be joined.
    std::_Exit(code);
  }
  return code;
}

}  // namespace flamingoyoke
