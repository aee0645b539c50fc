#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <string>
#include <variant>
#include <vector>

#include "table/table_reader.h"

namespace flamingoyoke {
namespace {

struct Example {
  const char* file;
  // Number of targets of each service, as stated in docs/table.md.
  std::vector<std::size_t> targets;
};

auto ReadExample(const std::string& file) -> ReadTableResult {
  std::ifstream stream(FLAMINGOYOKE_EXAMPLES "/" + file);
  cr_assert(stream.is_open(), "%s", file.c_str());
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  return ReadTable(text, Revision(1));
}

// The shipped example tables must be valid.
Test(examples, are_accepted) {
  const Example examples[] = {{"association.csv", {8, 14, 8}},
                              {"builder.csv", {9, 16, 8}}};
  for (const auto& example : examples) {
    const auto result = ReadExample(example.file);
    cr_assert(std::holds_alternative<Table>(result), "%s", example.file);
    std::vector<std::size_t> targets;
    for (const auto& row : std::get<Table>(result).rows) {
      targets.push_back(row.targets.size());
    }
    cr_assert(targets == example.targets, "%s", example.file);
  }
}

}  // namespace
}  // namespace flamingoyoke
