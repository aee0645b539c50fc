#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_TABLE_OUTBOX_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_TABLE_OUTBOX_H_

#include <cstdint>
#include <map>

#include "node/messages.h"

namespace flamingoyoke {

// Posts table versions to the fleet task. While its mailbox is full, keeps the
// newest version of each shard. Not thread-safe.
class TableOutbox {
 public:
  // `fleet` must outlive the outbox.
  explicit TableOutbox(Mailbox<FleetMessage>& fleet) : fleet_(fleet) {}

  // Posts `read`, or keeps it for PostPending if the mailbox is full. Drops it
  // if a newer version of its shard is pending.
  auto Post(TableRead read) -> void;

  // Posts pending versions until the mailbox is full.
  auto PostPending() -> void;

  // Whether any version is still to be posted.
  [[nodiscard]] auto has_pending() const -> bool { return !pending_.empty(); }

 private:
  Mailbox<FleetMessage>& fleet_;
  // By shard number.
  std::map<std::uint32_t, TableRead> pending_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_TABLE_OUTBOX_H_
