#ifndef FLAMINGOYOKE_DECISION_FLEET_RESUME_FILTER_H_
#define FLAMINGOYOKE_DECISION_FLEET_RESUME_FILTER_H_

#include <cstdint>
#include <set>

#include "core/ids.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Tells after a pause of this process which messages of peers are newer than
// the pause. Sockets buffer messages during a pause, so buffered messages say
// nothing about the present. Accepts everything before the first pause. Not
// thread-safe.
class ResumeFilter {
 public:
  // Starts to filter; `last_sequence` is the last one sent before the pause.
  auto Start(std::uint64_t last_sequence) -> void;
  // Accepts everything from now on.
  auto Stop() -> void { last_sequence_ = 0; }

  // Returns whether a message from another VM is newer than the pause: the
  // sender has acknowledged a heartbeat sent since.
  auto Accepts(const PeerEnvelope& envelope) -> bool;

 private:
  // 0 while everything is accepted.
  std::uint64_t last_sequence_ = 0;
  // The peers that have acknowledged a later sequence.
  std::set<VmId> heard_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_RESUME_FILTER_H_
