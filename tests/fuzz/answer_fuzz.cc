// Fuzzes the reading of answers: a caller must get the complete answer of its
// target, or none that looks complete. The input is that of ParseAnswerScript.

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "fuzz/answer_reading.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  static flamingoyoke::AnswerCheck check;
  auto script = flamingoyoke::ParseAnswerScript(
      std::string_view(reinterpret_cast<const char*>(data), size));
  // What a file of the corpus expects does not hold once it was changed.
  script.expected.clear();
  if (const auto fault = check.Run(script)) {
    std::fprintf(stderr, "%s\n", fault->c_str());
    std::abort();
  }
  return 0;
}
