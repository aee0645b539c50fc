// Fuzzes the framing of requests: the scanner and evhttp must find the same
// requests in a byte stream. 0xFF splits the stream.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "fuzz/request_framing.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  static flamingoyoke::FramingCheck check;
  std::vector<std::string> pieces(1);
  for (std::size_t i = 0; i < size; ++i) {
    if (data[i] == 0xFF) {
      pieces.emplace_back();
    } else {
      pieces.back() += static_cast<char>(data[i]);
    }
  }
  if (check.Run(pieces)) {
    std::abort();
  }
  return 0;
}
