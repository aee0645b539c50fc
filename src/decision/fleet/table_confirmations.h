#ifndef FLAMINGOYOKE_DECISION_FLEET_TABLE_CONFIRMATIONS_H_
#define FLAMINGOYOKE_DECISION_FLEET_TABLE_CONFIRMATIONS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// The confirmations of readers that arrived with heartbeats, until the versions
// that the sender had in force are in force here, too. Before that, a reader
// that follows the store says nothing about what this VM acts on. Not
// thread-safe.
class TableConfirmations {
 public:
  // Maximum number of confirmations that wait. With more, the newest one is
  // replaced, since the oldest ones are covered first.
  static constexpr std::size_t kMaxWaiting = 16;

  // A peer with the versions `tables` in force passed on a confirmation.
  auto Add(const SourceConfirmation& confirmation,
           const std::vector<TableDigest>& tables,
           TimePoint now) -> void;

  // Returns and removes the confirmations whose versions are not newer than
  // `settled`, the versions that are in force or were rejected here. Their ages
  // are those at `now`.
  auto TakeCovered(const std::vector<TableDigest>& settled, TimePoint now)
      -> std::vector<SourceConfirmation>;

  // Returns the age of the newest confirmation that arrived, whether its
  // versions are in force or not; nothing if none has arrived.
  [[nodiscard]] auto NewestAge(TimePoint now) const -> std::optional<Duration> {
    return newest_at_ ? std::optional(now - *newest_at_) : std::nullopt;
  }

  // Returns whether no confirmation waits.
  [[nodiscard]] auto empty() const -> bool { return waiting_.empty(); }

  // Forgets all, after a start or a pause.
  auto Clear() -> void;

 private:
  struct Waiting {
    SourceConfirmation confirmation;
    // When the reader followed the store, by the clock of this VM.
    TimePoint followed_at;
    std::vector<TableDigest> tables;
  };

  // In the order of arrival.
  std::vector<Waiting> waiting_;
  std::optional<TimePoint> newest_at_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_TABLE_CONFIRMATIONS_H_
