#ifndef FLAMINGOYOKE_DECISION_FLEET_TABLE_DISSEMINATION_EVENT_H_
#define FLAMINGOYOKE_DECISION_FLEET_TABLE_DISSEMINATION_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Events of TableDissemination. A PeerEnvelope is an event, too; messages other
// than Heartbeat, TableAnnounce, TablePull and TableData are ignored.

// Starts the first read; must be the first event. `restored` are the tables
// that an earlier task of this process had accepted.
struct TableDisseminationStarted {
  std::vector<TableData> restored;
};

// The peers with a two-way link, whether this VM is elected to watch the
// configuration service, and the number of known VMs.
struct TableFleetChanged {
  std::vector<VmId> peers;
  bool is_elected = false;
  std::size_t fleet_size = 1;
  // Whether this VM is among the first ones that read a source which is read
  // before callers are accepted. The others wait for peers in a large fleet.
  bool reads_first = true;
};

// A text was read from the configuration service.
struct TableTextRead {
  std::uint32_t shard = 0;
  Revision revision;
  std::string text;
  // Era of the source's revision from which `revision` derives; see
  // TableDigest.
  StoreEra era = {};
};

// All that the source held when the read was requested has been delivered by
// TableTextRead. Only for sources that always return their newest state.
struct SourceRead {
  TimePoint requested_at;
  // Since when the source has been available without an outage.
  std::optional<TimePoint> available_since = {};
};

// The process was paused, so what it has read before may be outdated.
struct TableDisseminationResumed {};

// Result of a CheckTable.
struct TableChecked {
  TableDigest digest;
  bool is_valid = false;
  // Why the table was rejected, for operators.
  std::string reason;
  // How long this VM worked on the version, waits for the processor included.
  Duration took = Duration::zero();
};

// A peer sent this version, but its message could not be expanded.
struct TableUnreadable {
  TableDigest digest;
};

struct TableDisseminationTimer {};

using TableDisseminationEvent = std::variant<TableDisseminationStarted,
                                             TableFleetChanged,
                                             TableTextRead,
                                             SourceRead,
                                             TableDisseminationResumed,
                                             TableChecked,
                                             TableUnreadable,
                                             PeerEnvelope,
                                             TableDisseminationTimer>;

// Actions of TableDissemination.

// Check the text and answer with TableChecked.
struct CheckTable {
  TableDigest digest;
  std::string text;
};

// How this node got a text that is in force.
struct TableOrigin {
  // Peer that sent it; empty if this node read it from its source.
  VmId peer;
  // Time since a peer first announced the version, and the number of pulls sent
  // for it.
  Duration since_announced = Duration::zero();
  std::size_t pulls = 0;

  auto operator==(const TableOrigin&) const -> bool = default;
};

// The text is accepted and in force from now on.
struct TableAccepted {
  TableDigest digest;
  std::string text;
  TableOrigin origin = {};
};

// A table failed its check and is not in force.
struct TableRejected {
  TableDigest digest;
  std::string reason;
};

// Whether to watch the configuration service, and the newest known revision,
// rejected ones included. The watch waits for a later one.
struct ReaderRoleSet {
  bool is_reader = false;
  Revision known;

  auto operator==(const ReaderRoleSet&) const -> bool = default;
};

// Deliver a TableDisseminationTimer at `at`; replaces an earlier request.
struct WakeTableDisseminationAt {
  TimePoint at;
};

using TableDisseminationAction = std::variant<SendToPeer,
                                              CheckTable,
                                              TableAccepted,
                                              TableRejected,
                                              ReaderRoleSet,
                                              WakeTableDisseminationAt>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_TABLE_DISSEMINATION_EVENT_H_
