#include "cli/command_line.h"

#include <CLI/CLI.hpp>
#include <string>

#include "core/name_rule.h"

namespace flamingoyoke {
namespace {

constexpr const char* kExitCodes =
    "Exit codes: 0 success, 1 a fault was found, 2 wrong usage, 3 the VM is "
    "not reachable.";

// Option values as parsed, before conversion to a command.
struct Arguments {
  std::string file;
  std::string against;
  std::string address;
  std::string service;
  std::string failure_domain;
  bool json = false;
  bool csv = false;
  bool watch = false;
};

auto ToEndpoint(const std::string& text) -> NamedEndpoint {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint || endpoint->endpoint.port == 0) {
    throw CLI::ValidationError(
        "--address", text +
                         " is not an IP address with a port, for example "
                         "10.0.0.1:9000");
  }
  return *endpoint;
}

auto ValidateName(const std::string& text) -> std::string {
  return IsValidName(text) ? std::string()
                           : text + " is not a name: " + kNameRule;
}

auto AddCommand(CLI::App& app, const char* name, const char* description)
    -> CLI::App* {
  auto* command = app.add_subcommand(name, description);
  command->set_version_flag("--version", FLAMINGOYOKE_VERSION);
  command->footer(kExitCodes);
  return command;
}

auto AddFileCommand(CLI::App& app,
                    const char* name,
                    const char* description,
                    Arguments& arguments) -> CLI::App* {
  auto* command = AddCommand(app, name, description);
  command->add_option("FILE", arguments.file, "file to check")->required();
  return command;
}

auto AddCheckConfiguration(CLI::App& app, Arguments& arguments) -> CLI::App* {
  auto* command = AddFileCommand(
      app, "check-configuration",
      "Check a configuration before it is published: errors, entries that no "
      "request matches, and limits that contradict each other",
      arguments);
  command->add_option("--against", arguments.against,
                      "file with the version in force; prints what differs");
  command->add_flag("--json", arguments.json, "print JSON");
  return command;
}

auto AddReport(CLI::App& app, Arguments& arguments) -> CLI::App* {
  auto* command = AddCommand(app, "report", "Show the report of one VM");
  command
      ->add_option("--address", arguments.address,
                   "IP:PORT of the VM for operators (admin.address)")
      ->required();
  auto* json = command->add_flag("--json", arguments.json, "print JSON");
  auto* csv = command->add_flag("--csv", arguments.csv, "print CSV");
  json->excludes(csv);
  command->add_flag("--watch", arguments.watch,
                    "repeat every second until interrupted");
  return command;
}

auto AddAddresses(CLI::App& app, Arguments& arguments) -> CLI::App* {
  auto* command = AddCommand(
      app, "addresses", "Show the addresses that callers of a service use");
  command
      ->add_option("--address", arguments.address,
                   "IP:PORT of any VM for callers (caller.address)")
      ->required();
  command->add_option("--service", arguments.service, "name of the service")
      ->required()
      ->check(ValidateName);
  command
      ->add_option("--failure-domain", arguments.failure_domain,
                   "failure domain of the caller")
      ->check(ValidateName);
  return command;
}

auto SelectFormat(const Arguments& arguments) -> ReportFormat {
  if (arguments.json) {
    return ReportFormat::kJson;
  }
  return arguments.csv ? ReportFormat::kCsv : ReportFormat::kText;
}

}  // namespace

auto ParseCommandLine(int argc, char** argv)
    -> std::variant<Command, ExitCode> {
  CLI::App app(
      "Checks tables and settings of a flamingoyoke fleet and shows "
      "its reports.",
      "flamingoyoke");
  app.set_version_flag("--version", FLAMINGOYOKE_VERSION);
  app.footer(kExitCodes);
  app.require_subcommand(1);
  Arguments arguments;
  const auto* check_table = AddFileCommand(
      app, "check-table", "Check a table and list every fault", arguments);
  const auto* check_settings =
      AddFileCommand(app, "check-settings",
                     "Check a settings file and list every fault", arguments);
  const auto* check_configuration = AddCheckConfiguration(app, arguments);
  const auto* report = AddReport(app, arguments);
  AddAddresses(app, arguments);
  try {
    app.parse(argc, argv);
    if (check_table->parsed()) {
      return Command(CheckTableCommand{arguments.file});
    }
    if (check_settings->parsed()) {
      return Command(CheckSettingsCommand{arguments.file});
    }
    if (check_configuration->parsed()) {
      return Command(CheckConfigurationCommand{
          arguments.file, arguments.against, arguments.json});
    }
    const auto address = ToEndpoint(arguments.address);
    if (report->parsed()) {
      return Command(
          ReportCommand{address, SelectFormat(arguments), arguments.watch});
    }
    return Command(
        AddressesCommand{address, arguments.service, arguments.failure_domain});
  } catch (const CLI::ParseError& error) {
    // Prints help and the version to standard output, errors to standard
    // error.
    return app.exit(error) == 0 ? ExitCode::kOk : ExitCode::kUsage;
  }
}

}  // namespace flamingoyoke
