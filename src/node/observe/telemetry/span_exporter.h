#ifndef FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_SPAN_EXPORTER_H_
#define FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_SPAN_EXPORTER_H_

#include <cstdint>
#include <deque>
#include <fstream>

#include "node/messages.h"
#include "node/observe/telemetry/telemetry_config.h"

namespace flamingoyoke {

// Appends finished spans to a file as OTLP JSON, one export request per line.
// Spans beyond the buffer's capacity are dropped, so that the export never
// delays a request. Not thread-safe.
class SpanExporter {
 public:
  // `config` must outlive the exporter.
  explicit SpanExporter(const TelemetryConfig& config);

  // Buffers `span` until the next flush. Drops and counts it if the buffer is
  // full or there is no file.
  auto Add(SpanFinished span) -> void;

  // Writes all buffered spans to the file.
  auto Flush() -> void;

  // Number of spans dropped by Add().
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
