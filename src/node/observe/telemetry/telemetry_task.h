#ifndef FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_TASK_H_
#define FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_TASK_H_

#include "core/result.h"
#include "node/mailbox_reporter.h"
#include "node/messages.h"
#include "node/observe/telemetry/metric_store.h"
#include "node/observe/telemetry/span_exporter.h"
#include "node/observe/telemetry/telemetry_config.h"
#include "node/process_reporter.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Merges the metrics of all tasks into one document for the admin task and
// exports finished spans. Wakes up only when a message arrives.
class TelemetryTask {
 public:
  using Message = TelemetryMessage;

  // `mailboxes` are the mailboxes of the node and must outlive the task.
  TelemetryTask(TelemetryConfig config, Mailboxes& mailboxes);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  auto Publish() -> void;

  TelemetryConfig config_;
  Mailbox<AdminMessage>& admin_;
  MailboxReporter mailbox_reporter_;
  ProcessReporter process_reporter_;
  TaskContext* context_ = nullptr;
  MetricStore metrics_;
  SpanExporter spans_;
  EventLoop::Handle publish_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_TASK_H_
