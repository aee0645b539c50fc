#ifndef FLAMINGOYOKE_NODE_CONTROL_PLATFORM_PLATFORM_TASK_H_
#define FLAMINGOYOKE_NODE_CONTROL_PLATFORM_PLATFORM_TASK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/result.h"
#include "node/control/platform/key_watch.h"
#include "node/control/platform/platform_config.h"
#include "node/messages.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Owns the connections to the platform's configuration service. Reads the
// list of vms and the table once after its start, and watches them while the
// fleet task says that this node is an elected reader.
class PlatformTask {
 public:
  using Message = PlatformMessage;

  PlatformTask(PlatformConfig config, Mailbox<FleetMessage>& fleet);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  auto MakeWatch(const std::string& key, KeyWatch::OnValue on_value)
      -> std::unique_ptr<KeyWatch>;
  auto PostTable(std::uint32_t shard, std::uint64_t revision, std::string text)
      -> bool;
  auto PostVmList(std::uint64_t revision, const std::string& text) -> bool;

  PlatformConfig config_;
  Mailbox<FleetMessage>& fleet_;
  TaskContext* context_ = nullptr;
  std::unique_ptr<KeyWatch> vm_list_;
  std::vector<std::unique_ptr<KeyWatch>> tables_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_PLATFORM_PLATFORM_TASK_H_
