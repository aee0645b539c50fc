#ifndef FLAMINGOYOKE_CLI_TEXT_TABLE_H_
#define FLAMINGOYOKE_CLI_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace flamingoyoke {

// Formats rows of text with aligned columns. Not thread-safe.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // Adds a row. Precondition: `row` has as many cells as the header.
  auto Add(std::vector<std::string> row) -> void;

  // Returns the header and the rows, one per line.
  [[nodiscard]] auto ToText() const -> std::string;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_TEXT_TABLE_H_
