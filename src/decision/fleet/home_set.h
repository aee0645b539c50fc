#ifndef FLAMINGOYOKE_DECISION_FLEET_HOME_SET_H_
#define FLAMINGOYOKE_DECISION_FLEET_HOME_SET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Returns whether a member is eligible for home sets: alive, ready and not
// leaving. Thread-safe.
auto IsServing(const Member& member) -> bool;

// The candidates for home sets. Hashes the ids and groups the members by
// failure domain once, for use with many services. Immutable and therefore
// thread-safe.
class HomeCandidates {
 public:
  // Uses the members at `indexes`. `members` must outlive this object.
  HomeCandidates(const std::vector<Member>& members,
                 const std::vector<std::size_t>& indexes);

  // Returns the indexes of at most `size` members for `service`, best first:
  // the best member of each failure domain by rendezvous hashing, then the
  // second best of each, and so on. When a member leaves, the others stay and
  // at most one joins.
  [[nodiscard]] auto Best(const ServiceId& service, std::size_t size) const
      -> std::vector<std::size_t>;

 private:
  struct Candidate {
    std::uint64_t hash = 0;
    std::size_t index = 0;
  };
  struct Scored {
    std::uint64_t score = 0;
    std::size_t index = 0;
    // Rank among the candidates of the same failure domain.
    std::size_t rank = 0;
  };

  [[nodiscard]] auto IsBetter(const Scored& a, const Scored& b) const -> bool;
  [[nodiscard]] auto BestOfDomain(const std::vector<Candidate>& domain,
                                  std::uint64_t key,
                                  std::size_t size) const
      -> std::vector<Scored>;

  const std::vector<Member>& members_;
  std::vector<std::vector<Candidate>> domains_;
};

// Returns the indexes of the serving members. Thread-safe.
auto ServingIndexes(const std::vector<Member>& members)
    -> std::vector<std::size_t>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_HOME_SET_H_
