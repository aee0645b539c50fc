#include "node/control/store/table_outbox.h"

#include <string>
#include <utility>

#include "node/log.h"

namespace flamingoyoke {

auto TableOutbox::Post(TableRead read) -> void {
  const auto shard = read.shard;
  const auto found = kept_.find(shard);
  if (found != kept_.end() && read.revision < found->second.revision) {
    return;
  }
  Log(Part::kStore, LogLevel::kInfo,
      "read shard " + std::to_string(shard) + " of revision " +
          std::to_string(read.revision.value()));
  kept_.insert_or_assign(shard, std::move(read));
  PostKept();
}

auto TableOutbox::PostKept() -> void {
  for (auto it = kept_.begin(); it != kept_.end();) {
    if (fleet_.Post(it->second) == PostResult::kRefused) {
      Log(Part::kStore, LogLevel::kWarning,
          "the mailbox of fleet is full; a version that was read waits");
      return;
    }
    it = kept_.erase(it);
  }
}

}  // namespace flamingoyoke
