#ifndef FLAMINGOYOKE_CORE_LOG_LEVEL_H_
#define FLAMINGOYOKE_CORE_LOG_LEVEL_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

template <>
struct EnumNames<LogLevel> {
  static constexpr auto kTable = std::to_array<NameEntry<LogLevel>>({
      {LogLevel::kDebug, "debug"},
      {LogLevel::kInfo, "info"},
      {LogLevel::kWarning, "warning"},
      {LogLevel::kError, "error"},
  });
};
static_assert(IsDense<LogLevel>());

enum class LogFormat { kText, kJson };

template <>
struct EnumNames<LogFormat> {
  static constexpr auto kTable = std::to_array<NameEntry<LogFormat>>({
      {LogFormat::kText, "text"},
      {LogFormat::kJson, "json"},
  });
};
static_assert(IsDense<LogFormat>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_LOG_LEVEL_H_
