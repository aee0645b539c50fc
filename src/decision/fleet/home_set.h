#ifndef FLAMINGOYOKE_DECISION_FLEET_HOME_SET_H_
#define FLAMINGOYOKE_DECISION_FLEET_HOME_SET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Returns whether a member may be in a home set: it is alive, ready and not
// leaving. Thread-safe.
auto IsServing(const Member& member) -> bool;

// The vms that home sets are chosen from, prepared for many services: the ids
// are hashed and the failure domains grouped once. Immutable and so
// thread-safe.
class HomeCandidates {
 public:
  // Takes the members at `indexes`. `members` must outlive the candidates.
  HomeCandidates(const std::vector<Member>& members,
                 const std::vector<std::size_t>& indexes);

  // Returns the indexes of at most `size` members for `service`, best first:
  // the best member of each failure domain by rendezvous hashing, then the
  // second best of each, and so on. When a member goes, the others stay and
  // one may join.
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
    // Position among the candidates of the same failure domain.
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
