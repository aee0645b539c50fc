#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_TASK_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_TASK_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "decision/platform/read_schedule.h"
#include "decision/platform/registry_tracker.h"
#include "node/control/store/store_config.h"
#include "node/control/store/store_reader.h"
#include "node/control/store/table_outbox.h"
#include "node/dialect.h"
#include "node/messages.h"
#include "runtime/event_loop.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Reads the published configuration and the registry while this vm is a
// reader, and hands new versions to the fleet task. Satisfies the Task concept;
// after construction, used on one thread only.
class StoreTask {
 public:
  using Message = PlatformMessage;

  // `fleet` must outlive the task.
  StoreTask(StoreConfig config,
            StoreDialect dialect,
            Mailbox<FleetMessage>& fleet);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  auto Take(const ReaderRoleChanged& changed) -> void;
  auto Take(const RegistryInForce& changed) -> void;

  auto Read() -> void;
  auto List() -> void;
  auto Watch() -> void;
  auto OnListed(int status, const std::string& body) -> void;
  auto OnWatched(int status, const std::string& body) -> void;
  auto OnFailed(const std::string& reason) -> void;
  auto OnAnswered() -> void;
  // Takes one entry; listed targets are added to `targets`.
  auto TakeItem(const StoreItem& item, std::vector<RegisteredTarget>* targets)
      -> void;
  auto TakeRouting(const StoreItem& item) -> void;
  auto TakeTarget(const TargetId& id,
                  const StoreItem& item,
                  std::vector<RegisteredTarget>* targets) -> void;
  auto Propose() -> void;
  auto PostTable(TableRead read) -> void;

  const StoreConfig config_;
  const StoreDialect dialect_;
  Mailbox<FleetMessage>& fleet_;
  TableOutbox outbox_;
  TaskContext* context_ = nullptr;
  RegistryTracker tracker_;
  ReadSchedule schedule_;
  std::unique_ptr<StoreReader> reader_;
  EventLoop::Handle timer_;
  EventLoop::Handle post_timer_;
  bool is_reader_ = false;
  bool is_reading_ = false;
  bool is_available_ = true;
  // Revision to watch from; 0 before a list is whole.
  std::uint64_t watch_after_ = 0;
  // State of a list in progress.
  std::string list_after_;
  std::uint64_t list_as_of_ = 0;
  std::vector<RegisteredTarget> list_targets_;
  std::uint64_t last_as_of_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_TASK_H_
