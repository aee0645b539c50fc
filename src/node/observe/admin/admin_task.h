#ifndef FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_TASK_H_
#define FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_TASK_H_

#include <event2/http.h>

#include <memory>
#include <optional>
#include <string>

#include "core/result.h"
#include "node/accept_pause.h"
#include "node/messages.h"
#include "node/observe/admin/admin_config.h"
#include "node/observe/admin/admin_connections.h"
#include "node/observe/admin/report.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Serves operators over HTTP: /report (HTML), /report.csv, /report.json,
// /metrics (Prometheus text), /livez and /readyz. Answers come from the latest
// snapshot of each task, so that a request never waits for the traffic task.
class AdminTask {
 public:
  using Message = AdminMessage;

  explicit AdminTask(AdminConfig config);

  // Listens on the configured address. Fails with kAddressInUse or
  // kSocketFailed if the address cannot be bound.
  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  struct ServerDeleter {
    auto operator()(evhttp* server) const -> void { evhttp_free(server); }
  };

  auto HandleRequest(evhttp_request* request) -> void;
  auto ReplyReadiness(evhttp_request* request) -> void;

  AdminConfig config_;
  TaskContext* context_ = nullptr;
  Report report_;
  std::string metrics_;
  std::optional<AcceptPause> accept_pause_;
  std::optional<AdminConnections> connections_;
  std::unique_ptr<evhttp, ServerDeleter> server_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_TASK_H_
