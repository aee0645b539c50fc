#include "node/observe/telemetry/telemetry_task.h"

#include <utility>

#include "core/overloaded.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

// Messages that arrive within this time are published together.
constexpr Duration kPublishDelay = std::chrono::milliseconds(500);

}  // namespace

TelemetryTask::TelemetryTask(TelemetryConfig config, Mailboxes& mailboxes)
    : config_(std::move(config)),
      admin_(mailboxes.admin),
      mailbox_reporter_(mailboxes),
      spans_(config_) {}

auto TelemetryTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  publish_timer_ = context.loop().MakeTimer([this] { Publish(); });
  return {};
}

auto TelemetryTask::Handle(Message message) -> Result<void> {
  std::visit(Overloaded{
                 [this](MetricsReported& report) {
                   metrics_.Replace(std::move(report));
                 },
                 [this](SpanFinished& span) { spans_.Add(std::move(span)); },
             },
             message);
  if (!publish_timer_.IsPending()) {
    publish_timer_.Schedule(kPublishDelay);
  }
  return {};
}

auto TelemetryTask::Stop(StopMode) -> void {
  Publish();
  context_->Exit();
}

auto TelemetryTask::Publish() -> void {
  spans_.Flush();
  metrics_.Replace(
      {.task = "mailboxes", .samples = mailbox_reporter_.Report()});
  metrics_.Replace(
      {.task = "process", .samples = process_reporter_.Report(Now())});
  metrics_.Replace(
      {.task = "telemetry",
       .samples = {{.name = "flamingoyoke_dropped_spans_total",
                    .help = "Trace spans that were not exported.",
                    .value = static_cast<double>(spans_.dropped_count())}}});
  admin_.Post(MetricsRendered{metrics_.Render()});
}

}  // namespace flamingoyoke
