#include "decision/fleet/resume_filter.h"

#include <variant>

namespace flamingoyoke {

auto ResumeFilter::Start(std::uint64_t last_sequence) -> void {
  last_sequence_ = last_sequence;
  heard_.clear();
}

auto ResumeFilter::Accepts(const PeerEnvelope& envelope) -> bool {
  if (last_sequence_ == 0 || heard_.contains(envelope.sender)) {
    return true;
  }
  const auto* heartbeat = std::get_if<Heartbeat>(&envelope.message);
  if (heartbeat == nullptr || heartbeat->heard_sequence <= last_sequence_) {
    return false;
  }
  heard_.insert(envelope.sender);
  return true;
}

}  // namespace flamingoyoke
