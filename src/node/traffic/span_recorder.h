#ifndef FLAMINGOYOKE_NODE_TRAFFIC_SPAN_RECORDER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_SPAN_RECORDER_H_

#include <cstdint>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "node/messages.h"
#include "node/traffic/service_runner.h"

namespace flamingoyoke {

// Sends the spans of sampled requests to the telemetry task, limited to a
// number per second. Not thread-safe.
class SpanRecorder {
 public:
  // `mailbox` must outlive the recorder.
  SpanRecorder(Mailbox<TelemetryMessage>& mailbox,
               Random random,
               std::uint32_t spans_per_second);

  // Records the span of the request and the span of its wait in the queue.
  auto OnRequest(const ServiceId& service,
                 const ServiceRunner::RequestRecord& record) -> void;
  // Records the span of one attempt.
  auto OnAttempt(const ServiceId& service,
                 const ServiceRunner::AttemptRecord& record) -> void;

 private:
  // Returns whether the trace is sampled and the limit of the current second is
  // not reached.
  auto MaySend(const TraceContext& trace, TimePoint now) -> bool;
  auto Send(const TraceContext& trace,
            const char* name,
            TimePoint start,
            TimePoint end,
            std::vector<std::pair<std::string, std::string>> attributes)
      -> void;

  Mailbox<TelemetryMessage>& mailbox_;
  Random random_;
  const std::uint32_t spans_per_second_;
  TimePoint window_start_;
  std::uint32_t sent_in_window_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_SPAN_RECORDER_H_
