#ifndef FLAMINGOYOKE_CLI_COMMAND_H_
#define FLAMINGOYOKE_CLI_COMMAND_H_

#include <array>
#include <string>
#include <variant>

#include "core/endpoint.h"
#include "core/name_table.h"

namespace flamingoyoke {

// Output format of a report.
enum class ReportFormat { kText, kJson, kCsv };

template <>
struct EnumNames<ReportFormat> {
  static constexpr auto kTable = std::to_array<NameEntry<ReportFormat>>({
      {ReportFormat::kText, "text"},
      {ReportFormat::kJson, "json"},
      {ReportFormat::kCsv, "csv"},
  });
};
static_assert(IsDense<ReportFormat>());

struct CheckTableCommand {
  std::string file;
};

struct CheckSettingsCommand {
  std::string file;
};

struct CheckConfigurationCommand {
  std::string file;
  // File with the version in force; empty compares nothing.
  std::string against;
  bool json = false;
};

struct ReportCommand {
  NamedEndpoint address;
  ReportFormat format = ReportFormat::kText;
  // Repeat every second until interrupted.
  bool watch = false;
};

struct AddressesCommand {
  NamedEndpoint address;
  std::string service;
  std::string failure_domain;
};

// A parsed command with its arguments.
using Command = std::variant<CheckTableCommand,
                             CheckSettingsCommand,
                             CheckConfigurationCommand,
                             ReportCommand,
                             AddressesCommand>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_COMMAND_H_
