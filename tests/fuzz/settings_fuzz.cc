// Fuzzes the settings reader: any input must give settings or an error, without
// a crash.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "settings/settings.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::optional<flamingoyoke::Settings> settings;
  flamingoyoke::CaptureInto(settings,
                            [&] { return flamingoyoke::ReadSettings(text); });
  return 0;
}
