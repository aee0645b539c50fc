#include "cli/input_file.h"

#include <fstream>
#include <iostream>

namespace flamingoyoke {

auto ReadInputFile(const std::string& path, std::size_t limit)
    -> std::optional<std::string> {
  std::ifstream file(path, std::ios::binary);
  std::string text(limit + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file && !file.eof()) {
    std::cerr << "flamingoyoke: cannot read " << path
              << "; check its name and permissions\n";
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

}  // namespace flamingoyoke
