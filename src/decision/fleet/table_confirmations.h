#ifndef FLAMINGOYOKE_DECISION_FLEET_TABLE_CONFIRMATIONS_H_
#define FLAMINGOYOKE_DECISION_FLEET_TABLE_CONFIRMATIONS_H_

#include <cstddef>
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
  struct Received {
    SourceConfirmation confirmation;
    // When the reader followed the store, by the clock of this VM.
    TimePoint followed_at;
  };

  // Maximum number of confirmations that wait. With more, the newest one is
  // replaced, since the oldest ones are covered first.
  static constexpr std::size_t kMaxWaiting = 16;

  // A peer with the versions `tables` in force passed on a confirmation.
  auto Add(const SourceConfirmation& confirmation,
           const std::vector<TableDigest>& tables,
           TimePoint now) -> void;

  // Returns and removes the confirmations whose versions are not newer than
  // `settled`, the versions that are in force or were rejected here.
  auto TakeCovered(const std::vector<TableDigest>& settled)
      -> std::vector<Received>;

  // Forgets all, after a start or a pause.
  auto Clear() -> void { waiting_.clear(); }

 private:
  struct Waiting {
    Received received;
    std::vector<TableDigest> tables;
  };

  // In the order of arrival.
  std::vector<Waiting> waiting_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_TABLE_CONFIRMATIONS_H_
