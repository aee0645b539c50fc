#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_TASK_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_TASK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "decision/platform/read_recovery.h"
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

// Reads the published configuration and the target registry while this VM is an
// elected reader, and posts new versions to the fleet task. Satisfies the Task
// concept. Not thread-safe after construction.
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
  auto HandleMessage(const ReaderRoleChanged& changed) -> void;
  auto HandleMessage(const PublishedInForce& changed) -> void;

  using ResponseHandler = void (StoreTask::*)(const StoreReader::Response&);

  auto StartRead() -> void;
  // Requests `target` and calls `handler` with the response, unless the list is
  // discarded meanwhile.
  auto Request(const std::string& target,
               Duration timeout,
               ResponseHandler handler) -> void;
  auto RequestList() -> void;
  auto RequestWatch() -> void;
  // Takes in the era that an answer names. Returns whether the answer may be
  // used. Otherwise starts a new list, if the store has returned in a later era
  // than that of the list, or treats the read as failed.
  auto AcceptEra(const StoreReader::Response& response) -> bool;
  // Records that the store has answered the last read. Must be called before
  // the entries of the answer are applied.
  auto RecordAnswer() -> void;
  // Passes a complete list to the tracker.
  auto TakeInList() -> void;
  // Forgets what was listed, so that the next read lists all keys.
  auto DiscardList() -> void;
  auto OnListResponse(const StoreReader::Response& response) -> void;
  auto OnWatchResponse(const StoreReader::Response& response) -> void;
  // Returns how long to wait for an answer that the store may hold back for
  // `wait`.
  [[nodiscard]] auto ReadTimeout(Duration wait) const -> Duration;
  // A list or watch, named by `read`, ended without an answer.
  auto OnUnanswered(const std::string& read, ReadOutcome outcome) -> void;
  auto OnReadFailed(const std::string& reason) -> void;
  auto OnReadSucceeded() -> void;
  // Applies one entry. While listing, targets are appended to `targets`; while
  // watching, `targets` is null and the tracker is updated directly.
  auto ApplyItem(const StoreItem& item, std::vector<RegisteredTarget>* targets)
      -> void;
  auto ApplyRouting(const StoreItem& item) -> void;
  // Records that a version of the configuration is known in `era`.
  auto RecordRouting(Revision revision, StoreEra era) -> void;
  auto ApplyTarget(const TargetId& id,
                   const StoreItem& item,
                   std::vector<RegisteredTarget>* targets) -> void;
  auto PostRegistry() -> void;
  auto PostVersion(TableRead read) -> void;

  const StoreConfig config_;
  const StoreDialect dialect_;
  Mailbox<FleetMessage>& fleet_;
  TableOutbox outbox_;
  TaskContext* context_ = nullptr;
  RegistryTracker tracker_;
  ReadSchedule schedule_;
  ReadRecovery recovery_;
  // Reports of a watch that were ignored, as newer ones are known.
  std::uint64_t outdated_reports_ = 0;
  std::unique_ptr<StoreReader> reader_;
  EventLoop::Handle read_timer_;
  EventLoop::Handle post_timer_;
  bool is_reader_ = false;
  bool is_reading_ = false;
  std::uint64_t discarded_lists_ = 0;
  bool is_available_ = true;
  // When the list or watch in progress was requested.
  TimePoint requested_at_;
  // Revision to watch from; 0 until a list is complete.
  std::uint64_t watch_after_ = 0;
  // Era of the list, complete or in progress; unset before its first page.
  std::optional<StoreEra> list_era_;
  // Latest era of a complete list of this VM and of the registry in force.
  StoreEra known_era_;
  // Newest version of the configuration that is in force or was read, and the
  // latest era known when this VM learned of it.
  Revision routing_revision_;
  StoreEra routing_era_;
  // State of a list request in progress: the last key read, the revision of the
  // first page, and the targets read so far.
  std::string list_cursor_;
  std::uint64_t list_revision_ = 0;
  std::vector<RegisteredTarget> list_targets_;
  std::uint64_t last_revision_ = 0;
  // Size of the registry that was posted last.
  std::size_t registry_bytes_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_TASK_H_
