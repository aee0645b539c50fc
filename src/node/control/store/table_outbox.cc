#include "node/control/store/table_outbox.h"

#include <string>
#include <tuple>
#include <utility>

#include "node/log.h"

namespace flamingoyoke {

auto TableOutbox::Post(TableRead read) -> void {
  const auto shard = read.shard;
  const auto found = pending_.find(shard);
  if (found != pending_.end() &&
      std::tie(read.era, read.revision) <
          std::tie(found->second.era, found->second.revision)) {
    return;
  }
  Log(Part::kStore, LogLevel::kInfo,
      "read shard " + std::to_string(shard) + " of revision " +
          std::to_string(read.revision.value()) + " of era " +
          std::to_string(read.era.value()));
  pending_.insert_or_assign(shard, std::move(read));
  PostPending();
}

auto TableOutbox::PostPending() -> void {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (fleet_.Post(it->second) == PostResult::kRefused) {
      Log(Part::kStore, LogLevel::kWarning,
          "the mailbox of the fleet task is full; will retry posting shard " +
              std::to_string(it->first));
      return;
    }
    it = pending_.erase(it);
  }
}

}  // namespace flamingoyoke
