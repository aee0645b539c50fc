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

// Owns the connections to the platform's configuration service. Reads the VM
// list and the table once when it starts, and watches them while this node is
// an elected reader, as reported by the fleet task.
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
  std::unique_ptr<KeyWatch> vm_list_watch_;
  std::vector<std::unique_ptr<KeyWatch>> table_watches_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_PLATFORM_PLATFORM_TASK_H_
