#ifndef FLAMINGOYOKE_CLI_COMMAND_H_
#define FLAMINGOYOKE_CLI_COMMAND_H_

#include <array>
#include <string>
#include <variant>

#include "core/endpoint.h"
#include "core/name_table.h"

namespace flamingoyoke {

// Form of a report.
enum class ReportForm { kText, kJson, kCsv };

template <>
struct EnumNames<ReportForm> {
  static constexpr auto kTable = std::to_array<NameEntry<ReportForm>>({
      {ReportForm::kText, "text"},
      {ReportForm::kJson, "json"},
      {ReportForm::kCsv, "csv"},
  });
};
static_assert(IsDense<ReportForm>());

struct CheckTableCommand {
  std::string file;
};

struct CheckSettingsCommand {
  std::string file;
};

struct ReportCommand {
  NamedEndpoint address;
  ReportForm form = ReportForm::kText;
  // Repeat every second until interrupted.
  bool watch = false;
};

struct AddressesCommand {
  NamedEndpoint address;
  std::string service;
  std::string failure_domain;
};

// What the command line asks for.
using Command = std::variant<CheckTableCommand,
                             CheckSettingsCommand,
                             ReportCommand,
                             AddressesCommand>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_COMMAND_H_
