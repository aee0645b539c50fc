#ifndef FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_SPAN_EXPORTER_H_
#define FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_SPAN_EXPORTER_H_

#include <cstdint>
#include <deque>
#include <fstream>

#include "node/messages.h"
#include "node/observe/telemetry/telemetry_config.h"

namespace flamingoyoke {

// Appends finished spans to a file in the OTLP JSON form, one export request a
// line. Spans that come faster than they are written are dropped, so that
// export never delays a request. Not thread-safe.
class SpanExporter {
 public:
  // `config` must outlive the exporter.
  explicit SpanExporter(const TelemetryConfig& config);

  // Keeps `span` for the next flush. Returns whether it was the first one
  // Keeps `span` for the next flush, or drops and counts it.
  auto Add(SpanFinished span) -> void;

  // Writes all kept spans.
  auto Flush() -> void;

  // Spans that were neither written nor kept.
  [[nodiscard]] auto dropped_count() const -> std::uint64_t {
    return dropped_count_;
  }

 private:
  const TelemetryConfig& config_;
  std::deque<SpanFinished> spans_;
  std::uint64_t dropped_count_ = 0;
  std::ofstream file_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_SPAN_EXPORTER_H_
