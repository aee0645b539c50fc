// Fuzzes the table reader: any input must give a table or a list of errors,
// without a crash.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "table/table_reader.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  flamingoyoke::ReadTable(text, flamingoyoke::Revision(1));
  return 0;
}
