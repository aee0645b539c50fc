#include <criterion/criterion.h>

#include <fstream>
#include <string>
#include <vector>

#include "integration/support/blocking_http.h"
#include "integration/support/child_process.h"
#include "integration/support/standins.h"

namespace flamingoyoke::integration {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(60);

TestSuite(cli, .fini = &ChildProcess::KillAll, .timeout = 240);

// Standard output and standard error of one command run, and its exit code.
struct CliRun {
  std::string text;
  int exit_code;
};

auto RunCli(const std::vector<std::string>& arguments) -> CliRun {
  ChildProcess process(ProgramPath("flamingoyoke"), arguments,
                       CapturedOutput::kStdoutAndStderr);
  auto text = process.ReadAll(kWaitTimeout);
  return {std::move(text), process.WaitForExit(kWaitTimeout)};
}

auto ExamplePath(const std::string& name) -> std::string {
  return std::string(FLAMINGOYOKE_SOURCE_DIR) + "/examples/" + name;
}

auto Contains(const std::string& text, const std::string& part) -> bool {
  return text.find(part) != std::string::npos;
}

// Guards against shipped examples that the command refuses.
Test(cli, accepts_the_examples) {
  for (const auto* table : {"association.csv", "builder.csv"}) {
    const auto run = RunCli({"check-table", ExamplePath(table)});
    cr_assert_eq(run.exit_code, 0, "%s", run.text.c_str());
  }
  cr_assert_eq(
      RunCli({"check-settings", ExamplePath("settings.json")}).exit_code, 0);
}

// Guards against table errors that are reported without row, column and value.
Test(cli, prints_row_and_column_of_every_fault) {
  const auto file = ProgramPath("faulty_table_of_cli_test.csv");
  std::ofstream(file) << "service,route,targets,repeatable,floor\n"
                         "a,/a,10.0.0.1:80,yes,2\n"
                         "a,/b,localhost:80,no,1\n";
  const auto run = RunCli({"check-table", file});
  cr_assert_eq(run.exit_code, 1);
  cr_assert(Contains(run.text, "row 2, column floor, value `2`"));
  cr_assert(Contains(run.text, "row 3, column service, value `a`"));
  cr_assert(Contains(run.text, "row 3, column targets, value `localhost:80`"));
  cr_assert(Contains(run.text, "refused, 3 faults"));
}

// Guards against a configuration whose findings do not fail the command, and
// against a published one that the platform's program cannot read.
Test(cli, checks_a_configuration_and_what_differs) {
  const auto table = ExamplePath("association.csv");
  const auto same =
      RunCli({"check-configuration", table, "--against", table, "--json"});
  cr_assert(Contains(same.text, "\"differences\": []"), "%s",
            same.text.c_str());
  const auto file = ProgramPath("configuration_of_cli_test.json");
  std::ofstream(file) << R"({"version":"r7","services":{"s":{}},"routes":{
    "r":{"host":"h","prefix":"/x/","kind":"safe","service":"missing"}}})";
  cr_assert_eq(RunCli({"check-configuration", file}).exit_code, 1);
  ChildProcess process(ProgramPath("flamingoyoke-platform"),
                       {"check-configuration", file},
                       CapturedOutput::kStdoutAndStderr);
  const auto text = process.ReadAll(kWaitTimeout);
  cr_assert_eq(process.WaitForExit(kWaitTimeout), 1);
  cr_assert(Contains(text, "error: route r, shares"), "%s", text.c_str());
}

// Guards against settings errors that are reported without the field path.
Test(cli, prints_the_path_of_settings_faults) {
  const auto file = ProgramPath("faulty_settings_of_cli_test.json");
  std::ofstream(file) << "{\"log\": {\"level\": \"loud\"}}";
  const auto run = RunCli({"check-settings", file});
  cr_assert_eq(run.exit_code, 1);
  cr_assert(Contains(run.text, "log.level"));
  cr_assert(Contains(run.text, "vm.id is missing"));
}

// Guards against usage errors and invalid input sharing one exit code, which
// scripts could not tell apart.
Test(cli, exits_with_2_on_wrong_usage) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"check-table"},
      {"check-table", "/nonexistent/file"},
      {"check-table", FLAMINGOYOKE_SOURCE_DIR},
      {"report"},
      {"report", "--address", "localhost:1"},
      {"report", "--address", "127.0.0.1:0"},
      {"report", "--address", "127.0.0.1:1", "--json", "--csv"},
      {"addresses", "--address", "127.0.0.1:1"},
      {"addresses", "--address", "127.0.0.1:1", "--service", "a b"},
      {"unknown"}};
  for (const auto& arguments : wrong) {
    const auto run = RunCli(arguments);
    cr_assert_eq(run.exit_code, 2, "%s", run.text.c_str());
    cr_assert_not(run.text.empty());
  }
}

// Guards against an unreachable VM being reported with the exit code of an
// invalid table.
Test(cli, exits_with_3_when_nobody_listens) {
  const std::string closed_address = "127.0.0.1:1";
  for (const auto& arguments : std::vector<std::vector<std::string>>{
           {"report", "--address", closed_address},
           {"report", "--address", closed_address, "--watch"},
           {"addresses", "--address", closed_address, "--service", "a"}}) {
    const auto run = RunCli(arguments);
    cr_assert_eq(run.exit_code, 3, "%s", run.text.c_str());
    cr_assert(Contains(run.text, "check that the VM runs"));
  }
}

// Guards against the answer of another server being shown as a report.
Test(cli, exits_with_1_when_the_answer_is_not_a_report) {
  Upstream upstream;
  const auto address = Loopback(upstream.port()).text;
  const auto run = RunCli({"report", "--address", address});
  cr_assert_eq(run.exit_code, 1);
  cr_assert(Contains(run.text, "admin.address"));
}

// Guards against subcommands without help or version.
Test(cli, has_help_and_version_everywhere) {
  const std::vector<std::vector<std::string>> commands = {
      {}, {"check-table"}, {"check-settings"}, {"report"}, {"addresses"}};
  for (auto arguments : commands) {
    arguments.emplace_back("--help");
    const auto help = RunCli(arguments);
    cr_assert_eq(help.exit_code, 0);
    cr_assert(Contains(help.text, "Exit codes"));
    arguments.back() = "--version";
    const auto version = RunCli(arguments);
    cr_assert_eq(version.exit_code, 0);
    cr_assert(Contains(version.text, "0.1.0"));
  }
}

}  // namespace
}  // namespace flamingoyoke::integration
