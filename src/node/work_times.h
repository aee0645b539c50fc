#ifndef FLAMINGOYOKE_NODE_WORK_TIMES_H_
#define FLAMINGOYOKE_NODE_WORK_TIMES_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/name_table.h"
#include "core/time.h"
#include "node/log.h"
#include "node/messages.h"

namespace flamingoyoke {

// Work of a task other than the messages of peers, which are told apart by
// PeerMessageKind.
enum class WorkKind {
  kFleetView,    // A new snapshot of the fleet.
  kRequest,      // A request of a caller, up to its first attempt.
  kAttempt,      // The end of an attempt.
  kTimer,        // The timer of a decision.
  kPublish,      // Making a snapshot of the fleet.
  kNodeMessage,  // A message of another task of this VM.
  kEncode,       // Encoding a message for a peer and queueing it.
  kDecode,       // Receiving messages of peers and decoding them.
};

template <>
struct EnumNames<WorkKind> {
  static constexpr auto kTable = std::to_array<NameEntry<WorkKind>>({
      {WorkKind::kFleetView, "fleet-view"},
      {WorkKind::kRequest, "request"},
      {WorkKind::kAttempt, "attempt"},
      {WorkKind::kTimer, "timer"},
      {WorkKind::kPublish, "publish"},
      {WorkKind::kNodeMessage, "node-message"},
      {WorkKind::kEncode, "encode"},
      {WorkKind::kDecode, "decode"},
  });
};
static_assert(IsDense<WorkKind>());

// Measures how long a task works on each kind of event, by the clock: a task
// that waits for the processor in the middle of an event counts as working. Not
// thread-safe.
class WorkTimes {
 public:
  // Adds the time between its construction and its destruction. A scope within
  // another one of the same WorkTimes adds nothing, so no time counts twice.
  class Scope {
   public:
    // `kind` must be a name of an enum's table.
    Scope(WorkTimes& times, std::string_view kind);
    Scope(const Scope&) = delete;
    auto operator=(const Scope&) -> Scope& = delete;
    ~Scope();

   private:
    WorkTimes& times_;
    const std::string_view kind_;
    const TimePoint begin_;
    const bool is_outermost_;
  };

  explicit WorkTimes(Part part) : part_(part) {}

  // `kind` must be a name of an enum's table.
  auto Add(std::string_view kind, Duration duration) -> void;

  // Appends the seconds and the number of events of each kind that occurred.
  auto AppendTo(std::vector<MetricSample>& samples) const -> void;

  // Logs one line with the kinds that occurred since the last call, if any did.
  auto LogSummary() -> void;

 private:
  struct Total {
    Duration duration = Duration::zero();
    std::uint64_t events = 0;
  };

  const Part part_;
  bool is_measuring_ = false;
  std::map<std::string_view, Total> totals_;
  std::map<std::string_view, Total> summarized_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_WORK_TIMES_H_
