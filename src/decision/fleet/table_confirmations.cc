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
  const auto at = now - confirmation.age;
  waiting_.push_back({confirmation, at, tables});
  newest_at_ = std::max(newest_at_.value_or(at), at);
}

auto TableConfirmations::TakeCovered(const std::vector<TableDigest>& settled,
                                     TimePoint now)
    -> std::vector<SourceConfirmation> {
  const auto covered = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [&](const Waiting& each) { return !CoversAll(settled, each.tables); });
  std::vector<SourceConfirmation> taken;
  for (auto it = covered; it != waiting_.end(); ++it) {
    it->confirmation.age = now - it->followed_at;
    taken.push_back(std::move(it->confirmation));
  }
  waiting_.erase(covered, waiting_.end());
  return taken;
}

auto TableConfirmations::Clear() -> void {
  waiting_.clear();
  newest_at_.reset();
}

}  // namespace flamingoyoke
