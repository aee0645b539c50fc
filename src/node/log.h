#ifndef FLAMINGOYOKE_NODE_LOG_H_
#define FLAMINGOYOKE_NODE_LOG_H_

#include <array>
#include <string_view>

#include "core/log_level.h"
#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// Parts of the process; each has a fixed prefix in the logs.
enum class Part {
  kNode,
  kTraffic,
  kGateway,
  kControl,
  kFleet,
  kMesh,
  kPlatform,
  kStore,
  kObserve,
  kAdmin,
  kTelemetry,
};

template <>
struct EnumNames<Part> {
  static constexpr auto kTable = std::to_array<NameEntry<Part>>({
      {Part::kNode, "node"},
      {Part::kTraffic, "traffic"},
      {Part::kGateway, "gateway"},
      {Part::kControl, "control"},
      {Part::kFleet, "fleet"},
      {Part::kMesh, "mesh"},
      {Part::kPlatform, "platform"},
      {Part::kStore, "store"},
      {Part::kObserve, "observe"},
      {Part::kAdmin, "admin"},
      {Part::kTelemetry, "telemetry"},
  });
};
static_assert(IsDense<Part>());

// Sets the least level and the format of all later lines, which go to standard
// output by a thread of their own, so that a reader that does not read never
// holds up a task. Call once, before any task starts.
auto ConfigureLog(LogLevel least, LogFormat format) -> void;

// Writes the lines that wait, for `patience` at most, and returns whether all
// were written. If not, a thread still waits for the reader, so the process has
// to end without destructors. Call once, after all tasks ended and instead of
// any later Log().
auto StopLog(Duration patience) -> bool;

// Writes one short sentence with the prefix of `part`. A sentence that the
// same thread repeats within five seconds is counted and not written.
// `sentence` must hold no body, key or secret. Thread-safe.
auto Log(Part part, LogLevel level, std::string_view sentence) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_LOG_H_
