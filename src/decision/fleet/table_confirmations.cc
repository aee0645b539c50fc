#include "decision/fleet/table_confirmations.h"

#include <algorithm>
#include <utility>

#include "decision/fleet/table_digests.h"

namespace flamingoyoke {

auto TableConfirmations::Add(const SourceConfirmation& confirmation,
                             const std::vector<TableDigest>& tables,
                             TimePoint now) -> void {
  if (waiting_.size() >= kMaxWaiting) {
    waiting_.pop_back();
  }
  waiting_.push_back({{confirmation, now - confirmation.age}, tables});
}

auto TableConfirmations::TakeCovered(const std::vector<TableDigest>& settled)
    -> std::vector<Received> {
  const auto covered = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [&](const Waiting& each) { return !CoversAll(settled, each.tables); });
  std::vector<Received> taken;
  for (auto it = covered; it != waiting_.end(); ++it) {
    taken.push_back(std::move(it->received));
  }
  waiting_.erase(covered, waiting_.end());
  return taken;
}

}  // namespace flamingoyoke
