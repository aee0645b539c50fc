#include "node/traffic/span_recorder.h"

#include <string>
#include <utility>
#include <vector>

#include "core/answer_table.h"
#include "runtime/clock.h"

namespace flamingoyoke {

SpanRecorder::SpanRecorder(Mailbox<TelemetryMessage>& mailbox,
                           Random random,
                           std::uint32_t spans_per_second)
    : mailbox_(mailbox), random_(random), spans_per_second_(spans_per_second) {}

auto SpanRecorder::OnRequest(const ServiceId& service,
                             const ServiceRunner::RequestRecord& record)
    -> void {
  const auto& request = record.request;
  if (!MaySend(request.trace, record.ended)) {
    return;
  }
  const auto outcome =
      record.error ? AnswerFor(*record.error).outcome : Outcome::kRun;
  Send(request.trace, "request", request.arrived, record.ended,
       {{"service", service.value()},
        {"outcome", std::string(ToName(outcome))}});
  const auto waited_until = request.started.value_or(record.ended);
  if (MaySend(request.trace, record.ended)) {
    Send(StartSpan(request.trace, random_), "queue", request.arrived,
         waited_until, {{"service", service.value()}});
  }
}

auto SpanRecorder::OnAttempt(const ServiceId& service,
                             const ServiceRunner::AttemptRecord& record)
    -> void {
  if (!MaySend(record.trace, record.ended)) {
    return;
  }
  Send(record.trace, "attempt", record.started, record.ended,
       {{"service", service.value()},
        {"target", record.target.value()},
        {"result", std::string(ToName(record.result))}});
}

auto SpanRecorder::MaySend(const TraceContext& trace, TimePoint now) -> bool {
  if (!trace.sampled) {
    return false;
  }
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    sent_in_window_ = 0;
  }
  return sent_in_window_ < spans_per_second_;
}

auto SpanRecorder::Send(
    const TraceContext& trace,
    const char* name,
    TimePoint start,
    TimePoint end,
    std::vector<std::pair<std::string, std::string>> attributes) -> void {
  ++sent_in_window_;
  SpanFinished span;
  span.trace_id = trace.trace_id;
  span.span_id = trace.span_id;
  span.parent_span_id = trace.parent_span_id;
  span.name = name;
  span.start_wall_ms = WallClockMs() - ToMilliseconds(Now() - start);
  span.duration = end - start;
  span.attributes = std::move(attributes);
  mailbox_.Post(std::move(span));
}

}  // namespace flamingoyoke
