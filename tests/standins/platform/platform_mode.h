#ifndef FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_PLATFORM_MODE_H_
#define FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_PLATFORM_MODE_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke::standin {

// How the platform stand-in answers reads.
enum class PlatformMode {
  kNormal,
  kDown,   // Every read fails with 503.
  kStale,  // Reads return the values from when the mode was set.
  kSlow,   // Every answer is delayed.
};

}  // namespace flamingoyoke::standin

namespace flamingoyoke {

template <>
struct EnumNames<standin::PlatformMode> {
  static constexpr auto kTable =
      std::to_array<NameEntry<standin::PlatformMode>>({
          {standin::PlatformMode::kNormal, "normal"},
          {standin::PlatformMode::kDown, "down"},
          {standin::PlatformMode::kStale, "stale"},
          {standin::PlatformMode::kSlow, "slow"},
      });
};
static_assert(IsDense<standin::PlatformMode>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_PLATFORM_MODE_H_
