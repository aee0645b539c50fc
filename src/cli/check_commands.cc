#include "cli/check_commands.h"

#include <cstddef>
#include <iostream>
#include <optional>
#include <string>
#include <variant>

#include "cli/input_file.h"
#include "core/overloaded.h"
#include "settings/settings.h"
#include "table/table_reader.h"

namespace flamingoyoke {
namespace {

auto Print(const std::string& file, const TableFault& fault) -> void {
  std::cerr << file << ": ";
  if (fault.row > 0) {
    std::cerr << "row " << fault.row << ", ";
  }
  if (!fault.column.empty()) {
    std::cerr << "column " << fault.column << ", ";
  }
  if (!fault.value.empty()) {
    std::cerr << "value `" << fault.value << "`: ";
  }
  std::cerr << fault.reason << "\n";
}

auto CountTargets(const Table& table) -> std::size_t {
  std::size_t count = 0;
  for (const auto& row : table.rows) {
    count += row.targets.size();
  }
  return count;
}

}  // namespace

auto Run(const CheckTableCommand& command) -> ExitCode {
  const auto text = ReadInputFile(command.file, kMaxTableBytes);
  if (!text) {
    return ExitCode::kUsage;
  }
  return std::visit(
      Overloaded{[&](const Table& table) {
                   std::cout << command.file << ": accepted, "
                             << table.rows.size() << " services with "
                             << CountTargets(table) << " targets\n";
                   return ExitCode::kOk;
                 },
                 [&](const TableFaults& faults) {
                   for (const auto& fault : faults) {
                     Print(command.file, fault);
                   }
                   std::cerr << command.file << ": refused, " << faults.size()
                             << " faults; docs/table.md describes the "
                                "columns\n";
                   return ExitCode::kFault;
                 }},
      ReadTable(*text, Revision()));
}

auto Run(const CheckSettingsCommand& command) -> ExitCode {
  const auto text = ReadInputFile(command.file, kMaxSettingsBytes);
  if (!text) {
    return ExitCode::kUsage;
  }
  std::optional<Settings> settings;
  const auto error = CaptureInto(settings, [&] { return ReadSettings(*text); });
  if (error) {
    std::cerr << error->detail << "\n"
              << command.file
              << ": refused; docs/operations/settings.md describes the "
                 "fields\n";
    return ExitCode::kFault;
  }
  std::cout << command.file << ": accepted, VM " << settings->vm.id.value()
            << " in failure domain " << settings->vm.failure_domain.value()
            << "\n";
  return ExitCode::kOk;
}

}  // namespace flamingoyoke
