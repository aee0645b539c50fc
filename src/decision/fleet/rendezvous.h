#ifndef FLAMINGOYOKE_DECISION_FLEET_RENDEZVOUS_H_
#define FLAMINGOYOKE_DECISION_FLEET_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace flamingoyoke {

// Returns a hash of `text` that is the same on every node. Thread-safe.
auto HashOf(std::string_view text) -> std::uint64_t;

// Returns the score of a candidate for a key, both given as HashOf; the
// candidates with the highest scores are selected. Thread-safe.
auto RendezvousScore(std::uint64_t key, std::uint64_t candidate)
    -> std::uint64_t;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_RENDEZVOUS_H_
