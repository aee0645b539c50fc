#include "node/control/platform/platform_task.h"

#include <optional>
#include <utility>

#include "node/control/platform/vm_list_reader.h"
#include "node/log.h"

namespace flamingoyoke {
namespace {

constexpr const char* kVmListKey = "vms";

auto WasAccepted(PostResult result) -> bool {
  return result == PostResult::kAccepted || result == PostResult::kCoalesced;
}

}  // namespace

PlatformTask::PlatformTask(PlatformConfig config, Mailbox<FleetMessage>& fleet)
    : config_(std::move(config)), fleet_(fleet) {}

auto PlatformTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  vm_list_watch_ = MakeWatch(
      kVmListKey, [this](std::uint64_t revision, const std::string& text) {
        return PostVmList(revision, text);
      });
  for (std::uint32_t shard = 0; shard < config_.table_keys.size(); ++shard) {
    table_watches_.push_back(
        MakeWatch(config_.table_keys[shard],
                  [this, shard](std::uint64_t revision, std::string text) {
                    return PostTable(shard, revision, std::move(text));
                  }));
  }
  return {};
}

auto PlatformTask::Handle(Message message) -> Result<void> {
  if (!std::holds_alternative<ReaderRoleChanged>(message)) {
    // PublishedInForce is ignored: a table in the configuration service lists
    // its targets itself.
    return {};
  }
  const auto& role = std::get<ReaderRoleChanged>(message);
  vm_list_watch_->SetEnabled(role.is_reader, 0);
  for (auto& watch : table_watches_) {
    // The known revision does not identify its shard, so it is only usable if
    // there is a single one.
    const auto known_revision =
        table_watches_.size() == 1 ? role.known.value() : 0;
    watch->SetEnabled(role.is_reader, known_revision);
  }
  return {};
}

auto PlatformTask::Stop(StopMode) -> void {
  context_->Exit();
}

auto PlatformTask::MakeWatch(const std::string& key, KeyWatch::OnValue on_value)
    -> std::unique_ptr<KeyWatch> {
  const auto salt = std::hash<std::string>{}(key);
  return std::make_unique<KeyWatch>(
      context_->loop(), config_, key, Random(config_.seed ^ salt),
      std::move(on_value), [](const std::string& reason) {
        Log(Part::kPlatform, LogLevel::kWarning, reason);
      });
}

auto PlatformTask::PostTable(std::uint32_t shard,
                             std::uint64_t revision,
                             std::string text) -> bool {
  return WasAccepted(
      fleet_.Post(TableRead{shard, Revision(revision), std::move(text)}));
}

auto PlatformTask::PostVmList(std::uint64_t revision, const std::string& text)
    -> bool {
  std::optional<std::vector<Member>> members;
  const auto error = CaptureInto(members, [&] { return ParseVmList(text); });
  if (error) {
    Log(Part::kPlatform, LogLevel::kWarning, error->detail);
    return false;
  }
  return WasAccepted(fleet_.Post(VmListRead{std::move(*members), revision}));
}

}  // namespace flamingoyoke
