#ifndef FLAMINGOYOKE_DECISION_FLEET_TABLE_CURRENCY_H_
#define FLAMINGOYOKE_DECISION_FLEET_TABLE_CURRENCY_H_

#include <optional>
#include <vector>

#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Keeps the latest time at which the versions in force were known to be the
// newest of their source: by an own read, or because a peer had that knowledge
// of versions that are not newer than those in force. A VM that starts with
// many others needs no read of its own then. Not thread-safe.
class TableCurrency {
 public:
  // All that the source held at `at` is in force or was rejected.
  auto OnOwnRead(TimePoint at) -> void;
  // A peer knows that `digests` were the newest versions at `at`.
  auto OnClaim(const std::vector<TableDigest>& digests, TimePoint at) -> void;
  // The versions in force are `digests` from now on. Call after each change and
  // each claim.
  auto Update(const std::vector<TableDigest>& digests) -> void;

  [[nodiscard]] auto known_at() const -> const std::optional<TimePoint>& {
    return known_at_;
  }
  [[nodiscard]] auto IsKnownSince(TimePoint start) const -> bool {
    return known_at_ && *known_at_ >= start;
  }

 private:
  auto Raise(TimePoint at) -> void;

  std::optional<TimePoint> known_at_;
  // The latest claim that was not yet adopted.
  std::vector<TableDigest> claimed_;
  std::optional<TimePoint> claimed_at_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_TABLE_CURRENCY_H_
