#ifndef FLAMINGOYOKE_DECISION_PLATFORM_STORE_AVAILABILITY_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_STORE_AVAILABILITY_H_

#include <chrono>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// What a VM knows from its own reads and from its peers about the published
// store. Both times are counted on the safe side: the answer may have come
// later, and the store may have been available for longer.
struct StoreContact {
  // When the last read was requested that the store is known to have answered;
  // unset if none is known.
  std::optional<TimePoint> answered_at;
  // Since when the store has been available without an outage; unset if that is
  // not known.
  std::optional<TimePoint> available_since;
};

// Tells outages of the published store, during which entries of live targets
// expire, from the loss of the VMs that read it. The only evidence is the time
// between two answers to any VM of the fleet: a reader that is cut off, turned
// away or lost says nothing about the store. Not thread-safe.
class StoreAvailability {
 public:
  // Shortest time between two answers that counts as an outage: two heartbeat
  // intervals of a target. A target misses at most two heartbeats in less, and
  // its entry expires after three intervals of silence.
  static constexpr Duration kShortestOutage = std::chrono::seconds(3);

  // This VM starts to read the store. `known` is what it knows of the store
  // until now.
  auto OnStarted(const StoreContact& known) -> void;

  // The store answered at `now` a read that was requested at `requested_at`.
  // Precondition: `requested_at` is not later than `now`.
  auto OnAnswered(TimePoint requested_at, TimePoint now) -> void;

  // The store returned at `now` without some of its entries.
  auto OnEntriesLost(TimePoint now) -> void { contact_.available_since = now; }

  // Returns since when the store has been available without an outage; nothing
  // if no answer is known.
  [[nodiscard]] auto since() const -> const std::optional<TimePoint>& {
    return contact_.available_since;
  }
  // Returns whether the last answer ended an outage, or was the first one.
  [[nodiscard]] auto was_interrupted() const -> bool {
    return was_interrupted_;
  }

 private:
  StoreContact contact_;
  bool was_interrupted_ = true;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_STORE_AVAILABILITY_H_
