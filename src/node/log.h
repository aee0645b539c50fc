#ifndef FLAMINGOYOKE_NODE_LOG_H_
#define FLAMINGOYOKE_NODE_LOG_H_

#include <array>
#include <string_view>

#include "core/log_level.h"
#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// Components of the process. The name is the prefix of the log lines.
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

// Sets the minimum level and the format of the log. Warnings of libevent go to
// the log as well. Call once, before any task starts.
auto ConfigureLog(LogLevel min_level, LogFormat format) -> void;

// Starts the background thread that writes the lines to standard output from
// now on, so that a blocked pipe never delays a task; until then, Log writes
// them itself. Throws std::system_error if the system refuses the thread; it
// may then be called again. Precondition: ConfigureLog was called, and no task
// has started.
auto StartLogWriter() -> void;

// Flushes the queued lines and returns whether all were written within
// `timeout`. If not, the background thread is still blocked on standard output,
// and the process must exit without running destructors. Call once, after all
// tasks have ended; Log() must not be called afterwards.
auto StopLog(Duration timeout) -> bool;

// Logs a short message with the prefix of `part`. A message that the same
// thread repeats within five seconds is counted but not written. `message` must
// not contain bodies, keys or secrets. Thread-safe.
auto Log(Part part, LogLevel level, std::string_view message) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_LOG_H_
