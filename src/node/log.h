#ifndef FLAMINGOYOKE_NODE_LOG_H_
#define FLAMINGOYOKE_NODE_LOG_H_

#include <array>
#include <string_view>

#include "core/name_table.h"

namespace flamingoyoke {

// Parts of the process; each has a fixed prefix in the logs.
enum class Part {
  kNode,
  kTraffic,
  kControl,
  kFleet,
  kMesh,
  kPlatform,
  kObserve,
  kAdmin,
  kTelemetry,
};

template <>
struct EnumNames<Part> {
  static constexpr auto kTable = std::to_array<NameEntry<Part>>({
      {Part::kNode, "node"},
      {Part::kTraffic, "traffic"},
      {Part::kControl, "control"},
      {Part::kFleet, "fleet"},
      {Part::kMesh, "mesh"},
      {Part::kPlatform, "platform"},
      {Part::kObserve, "observe"},
      {Part::kAdmin, "admin"},
      {Part::kTelemetry, "telemetry"},
  });
};
static_assert(IsDense<Part>());

enum class Severity { kDebug, kInfo, kWarning, kError };

template <>
struct EnumNames<Severity> {
  static constexpr auto kTable = std::to_array<NameEntry<Severity>>({
      {Severity::kDebug, "debug"},
      {Severity::kInfo, "info"},
      {Severity::kWarning, "warning"},
      {Severity::kError, "error"},
  });
};
static_assert(IsDense<Severity>());

enum class LogFormat { kText, kJson };

template <>
struct EnumNames<LogFormat> {
  static constexpr auto kTable = std::to_array<NameEntry<LogFormat>>({
      {LogFormat::kText, "text"},
      {LogFormat::kJson, "json"},
  });
};
static_assert(IsDense<LogFormat>());

// Sets the least severity and the format of all later lines, which go to
// standard error. Call once, before any task starts.
auto ConfigureLog(Severity least, LogFormat format) -> void;

// Writes one short sentence with the prefix of `part`. A sentence that the
// same thread repeats within five seconds is counted and not written.
// `sentence` must hold no body, key or secret. Thread-safe.
auto Log(Part part, Severity severity, std::string_view sentence) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_LOG_H_
