#include <CLI/CLI.hpp>
#include <charconv>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "standins/common/run_task.h"
#include "standins/load/load_task.h"

namespace flamingoyoke::standin {
namespace {

// Command-line arguments before they are parsed and validated.
struct LoadArguments {
  std::vector<std::string> entries;
  std::vector<std::string> direct;
  std::vector<std::string> swings;
  double seconds = 10;
  std::int64_t deadline_ms = 1000;
};

auto ParseEndpoints(const std::vector<std::string>& texts)
    -> std::vector<NamedEndpoint> {
  std::vector<NamedEndpoint> endpoints;
  for (const auto& text : texts) {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      throw CLI::ValidationError(text, "is not IP:PORT");
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

auto Seconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Reads "START:END:FACTOR".
auto ParseSwing(const std::string& text) -> Swing {
  std::istringstream stream(text);
  double start = 0;
  double end = 0;
  double factor = 0;
  char first = 0;
  char second = 0;
  stream >> start >> first >> end >> second >> factor;
  if (!stream || first != ':' || second != ':' || factor <= 0) {
    throw CLI::ValidationError(text, "is not START:END:FACTOR");
  }
  return {Seconds(start), Seconds(end), factor};
}

auto AddOptions(CLI::App& app, LoadArguments& arguments, LoadOptions& options)
    -> void {
  app.add_option("--entry", arguments.entries,
                 "IP:PORT of a VM to query for addresses");
  app.add_option("--direct", arguments.direct,
                 "IP:PORT of an upstream to call directly");
  app.add_option("--service", options.service, "service to resolve");
  app.add_option("--path", options.path, "path of the requests");
  app.add_option("--failure-domain", options.failure_domain,
                 "failure domain of the caller");
  app.add_option("--rate", options.rate, "requests per second")
      ->check(CLI::PositiveNumber);
  app.add_option("--seconds", arguments.seconds, "length of the run")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", options.seed, "seed of the schedule");
  app.add_option(
      "--swing", arguments.swings,
      "START:END:FACTOR; multiplies the rate between two times in seconds");
  app.add_option("--service-ms", options.service_ms,
                 "mean service time of short work");
  app.add_option("--long-share", options.long_share, "share of long work")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--long-factor", options.long_factor,
                 "service time of long work as a multiple of short work");
  app.add_option("--body-bytes", options.body_bytes,
                 "body size of short work in bytes");
  app.add_option("--long-body-bytes", options.long_body_bytes,
                 "body size of long work in bytes");
  app.add_option("--answer-bytes", options.answer_bytes,
                 "answer size in bytes");
  app.add_option("--deadline-ms", arguments.deadline_ms, "deadline");
  app.add_flag("--keys", options.use_keys, "request a key before each request");
}

auto Main(int argc, char** argv) -> int {
  CLI::App app("Load generator with open-loop arrivals; prints JSON");
  LoadArguments arguments;
  LoadOptions options;
  AddOptions(app, arguments, options);
  try {
    app.parse(argc, argv);
    options.entries = ParseEndpoints(arguments.entries);
    options.direct = ParseEndpoints(arguments.direct);
    for (const auto& swing : arguments.swings) {
      options.swings.push_back(ParseSwing(swing));
    }
    if (options.entries.empty() && options.direct.empty()) {
      throw CLI::RequiredError("--entry or --direct");
    }
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  }
  options.length = Seconds(arguments.seconds);
  options.deadline = std::chrono::milliseconds(arguments.deadline_ms);
  return RunTask<LoadTask>("load",
                           [&] { return std::make_unique<LoadTask>(options); });
}

}  // namespace
}  // namespace flamingoyoke::standin

auto main(int argc, char** argv) -> int {
  return flamingoyoke::standin::Main(argc, argv);
}
