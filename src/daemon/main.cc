// flamingoyoked: the daemon of one vm. A thin program over node/.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

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

auto ReadFile(const std::string& path) -> std::optional<std::string> {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

auto LoadSettings(const std::string& path) -> std::optional<Settings> {
  const auto text = ReadFile(path);
  if (!text) {
    std::fprintf(stderr, "flamingoyoked: cannot read %s; check the path\n",
                 path.c_str());
    return std::nullopt;
  }
  std::optional<Settings> settings;
  const auto error = CaptureInto(settings, [&] { return ReadSettings(*text); });
  if (error) {
    std::fprintf(stderr, "flamingoyoked: %s is not valid; correct:\n%s\n",
                 path.c_str(), error->detail.c_str());
    return std::nullopt;
  }
  return settings;
}

// Runs the node until it ends. The first signal stops it gracefully, the
// second one at once.
auto RunNode(const Settings& settings) -> int {
  EventLoop loop;
  WakeDescriptor ended;
  std::optional<Error> failure;
  Node node(settings);
  const SignalWatch signals(loop, [&](int count) {
    Log(Part::kNode, LogLevel::kInfo,
        count == 1 ? "stops gracefully" : "stops at once");
    node.Stop(count == 1 ? StopMode::kGraceful : StopMode::kHard);
  });
  const auto watch =
      loop.WatchReadable(ended.descriptor(), [&] { loop.Quit(); });
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

auto Main(int argc, char** argv) -> int {
  CLI::App app("Daemon of one vm of a flamingoyoke fleet.");
  app.set_version_flag("--version", "flamingoyoked " FLAMINGOYOKE_VERSION);
  std::string settings_path;
  app.add_option("--settings", settings_path, "Settings file (JSON)")
      ->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  const auto settings = LoadSettings(settings_path);
  if (!settings) {
    return kExitSettings;
  }
  ConfigureLog(settings->log.level, settings->log.format);
  return RunNode(*settings);
}

}  // namespace
}  // namespace flamingoyoke

auto main(int argc, char** argv) -> int {
  return flamingoyoke::Main(argc, argv);
}
