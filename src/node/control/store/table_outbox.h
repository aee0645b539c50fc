#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_TABLE_OUTBOX_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_TABLE_OUTBOX_H_

#include <cstdint>
#include <map>

#include "node/messages.h"

namespace flamingoyoke {

// Passes versions that were read to the fleet task, and keeps the newest of
// each shard while its mailbox is full. Not thread-safe.
class TableOutbox {
 public:
  // `fleet` must outlive the outbox.
  explicit TableOutbox(Mailbox<FleetMessage>& fleet) : fleet_(fleet) {}

  // Posts `read`, or keeps it for PostKept in place of an older version.
  auto Post(TableRead read) -> void;

  // Posts what was kept, as far as the mailbox takes it.
  auto PostKept() -> void;

  // Whether something waits for PostKept.
  [[nodiscard]] auto has_kept() const -> bool { return !kept_.empty(); }

 private:
  Mailbox<FleetMessage>& fleet_;
  // By shard.
  std::map<std::uint32_t, TableRead> kept_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_TABLE_OUTBOX_H_
