#include "node/observe/telemetry/span_exporter.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace flamingoyoke {
namespace {

constexpr std::size_t kMaxBufferedSpans = 2048;
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;
// SPAN_KIND_INTERNAL of OTLP.
constexpr int kSpanKindInternal = 1;

auto ToAttribute(const std::string& key, const std::string& value)
    -> nlohmann::json {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

auto ToJson(const SpanFinished& span) -> nlohmann::json {
  const auto start = span.start_wall_ms * kNanosecondsPerMillisecond;
  const auto end = start + span.duration.count() * kNanosecondsPerMicrosecond;
  auto attributes = nlohmann::json::array();
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(ToAttribute(key, value));
  }
  // OTLP JSON encodes 64-bit integers as strings.
  return {{"traceId", span.trace_id},
          {"spanId", span.span_id},
          {"parentSpanId", span.parent_span_id},
          {"name", span.name},
          {"kind", kSpanKindInternal},
          {"startTimeUnixNano", std::to_string(start)},
          {"endTimeUnixNano", std::to_string(end)},
          {"attributes", std::move(attributes)}};
}

auto ToExportRequest(const TelemetryConfig& config, nlohmann::json spans)
    -> nlohmann::json {
  const auto resource =
      nlohmann::json::array({ToAttribute("service.name", "flamingoyoke"),
                             ToAttribute("host.name", config.vm)});
  return {{"resourceSpans",
           nlohmann::json::array(
               {{{"resource", {{"attributes", resource}}},
                 {"scopeSpans",
                  nlohmann::json::array({{{"scope", {{"name", "flamingoyoke"}}},
                                          {"spans", std::move(spans)}}})}}})}};
}

}  // namespace

SpanExporter::SpanExporter(const TelemetryConfig& config) : config_(config) {
  if (!config_.trace_file.empty()) {
    file_.open(config_.trace_file, std::ios::app);
  }
}

auto SpanExporter::Add(SpanFinished span) -> void {
  if (!file_.is_open() || spans_.size() >= kMaxBufferedSpans) {
    ++dropped_count_;
    return;
  }
  spans_.push_back(std::move(span));
}

auto SpanExporter::Flush() -> void {
  if (spans_.empty()) {
    return;
  }
  auto spans = nlohmann::json::array();
  for (const auto& span : spans_) {
    spans.push_back(ToJson(span));
  }
  spans_.clear();
  file_ << ToExportRequest(config_, std::move(spans))
               .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        << "\n";
  file_.flush();
}

}  // namespace flamingoyoke
