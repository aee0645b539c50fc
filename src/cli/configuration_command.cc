#include "cli/configuration_command.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cli/input_file.h"
#include "core/overloaded.h"
#include "table/configuration_check.h"
#include "table/configuration_entry.h"
#include "table/table_reader.h"

namespace flamingoyoke {
namespace {

using Json = nlohmann::json;

// A configuration that could be read, with what is wrong with it.
struct CheckedConfiguration {
  std::vector<ConfigurationEntry> entries;
  std::vector<ConfigurationFinding> findings;
};

// Why a configuration could not be read, one line for each fault.
using ReadFaults = std::vector<std::string>;

auto DescribeFault(const TableFault& fault) -> std::string {
  return "row " + std::to_string(fault.row) + ", column " + fault.column +
         ", value `" + fault.value + "`: " + fault.reason;
}

auto CheckTableText(const std::string& text)
    -> std::variant<CheckedConfiguration, ReadFaults> {
  return std::visit(
      Overloaded{[](const Table& table)
                     -> std::variant<CheckedConfiguration, ReadFaults> {
                   return CheckedConfiguration{EntriesOf(table),
                                               CheckConfiguration(table)};
                 },
                 [](const TableFaults& faults)
                     -> std::variant<CheckedConfiguration, ReadFaults> {
                   ReadFaults lines;
                   for (const auto& fault : faults) {
                     lines.push_back(DescribeFault(fault));
                   }
                   return lines;
                 }},
      ReadTable(text, Revision()));
}

auto CheckText(const std::string& text, const RoutingReader& read_routing)
    -> std::variant<CheckedConfiguration, ReadFaults> {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos || text[first] != '{') {
    return CheckTableText(text);
  }
  if (!read_routing) {
    return ReadFaults{
        "is a published configuration, which this program cannot read; use the "
        "one that is built for the platform"};
  }
  std::optional<Routing> routing;
  const auto error = CaptureInto(routing, [&] { return read_routing(text); });
  if (error) {
    return ReadFaults{error->detail};
  }
  return CheckedConfiguration{EntriesOf(*routing),
                              CheckConfiguration(*routing)};
}

// Prints why a file cannot be read and returns nothing in that case.
auto ReadChecked(const std::string& path, const RoutingReader& read_routing)
    -> std::optional<std::variant<CheckedConfiguration, ReadFaults>> {
  const auto text = ReadInputFile(path, kMaxTableBytes);
  if (!text) {
    return std::nullopt;
  }
  auto checked = CheckText(*text, read_routing);
  if (const auto* faults = std::get_if<ReadFaults>(&checked)) {
    for (const auto& fault : *faults) {
      std::cerr << path << ": " << fault << "\n";
    }
  }
  return checked;
}

auto Subject(EntryKind kind, const std::string& name, const std::string& field)
    -> std::string {
  auto text = std::string(ToName(kind)) + " " + name;
  return field.empty() ? text : text + ", " + field;
}

auto PrintText(const std::string& file,
               const std::vector<ConfigurationFinding>& findings,
               const std::vector<ConfigurationDifference>& differences)
    -> void {
  for (const auto& each : findings) {
    std::cout << file << ": " << ToName(each.kind) << ": "
              << Subject(each.entry, each.name, each.field) << ": "
              << each.reason << "\n";
  }
  for (const auto& each : differences) {
    std::cout << ToName(each.kind) << ": "
              << Subject(each.entry, each.name, each.field);
    if (each.kind == DifferenceKind::kChanged) {
      std::cout << ": " << each.before << " -> " << each.after;
    }
    std::cout << "\n";
  }
  std::cout << file << ": " << findings.size() << " findings, "
            << differences.size() << " differences\n";
}

auto PrintJson(const std::vector<ConfigurationFinding>& findings,
               const std::vector<ConfigurationDifference>& differences)
    -> void {
  auto document =
      Json{{"findings", Json::array()}, {"differences", Json::array()}};
  for (const auto& each : findings) {
    document["findings"].push_back({{"kind", ToName(each.kind)},
                                    {"entry", ToName(each.entry)},
                                    {"name", each.name},
                                    {"field", each.field},
                                    {"reason", each.reason}});
  }
  for (const auto& each : differences) {
    document["differences"].push_back({{"kind", ToName(each.kind)},
                                       {"entry", ToName(each.entry)},
                                       {"name", each.name},
                                       {"field", each.field},
                                       {"before", each.before},
                                       {"after", each.after}});
  }
  std::cout << document.dump(2, ' ', /*ensure_ascii=*/true,
                             Json::error_handler_t::replace)
            << "\n";
}

}  // namespace

auto Run(const CheckConfigurationCommand& command,
         const RoutingReader& read_routing) -> ExitCode {
  const auto checked = ReadChecked(command.file, read_routing);
  if (!checked) {
    return ExitCode::kUsage;
  }
  const auto* present = std::get_if<CheckedConfiguration>(&*checked);
  std::vector<ConfigurationDifference> differences;
  if (!command.against.empty()) {
    const auto in_force = ReadChecked(command.against, read_routing);
    if (!in_force) {
      return ExitCode::kUsage;
    }
    const auto* before = std::get_if<CheckedConfiguration>(&*in_force);
    if (before == nullptr) {
      return ExitCode::kFault;
    }
    if (present != nullptr) {
      differences = CompareEntries(before->entries, present->entries);
    }
  }
  if (present == nullptr) {
    return ExitCode::kFault;
  }
  if (command.json) {
    PrintJson(present->findings, differences);
  } else {
    PrintText(command.file, present->findings, differences);
  }
  return present->findings.empty() ? ExitCode::kOk : ExitCode::kFault;
}

}  // namespace flamingoyoke
