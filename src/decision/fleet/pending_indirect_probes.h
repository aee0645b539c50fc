#ifndef FLAMINGOYOKE_DECISION_FLEET_PENDING_INDIRECT_PROBES_H_
#define FLAMINGOYOKE_DECISION_FLEET_PENDING_INDIRECT_PROBES_H_

#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace flamingoyoke {

// Questions of other nodes about a silent vm that wait for a sign of it.
// Bounded. Not thread-safe.
class PendingIndirectProbes {
 public:
  // Notes that `requester` waits for a sign of `subject`.
  auto Add(const VmId& requester, const VmId& subject, TimePoint now) -> void;

  // Removes and returns those who wait for a sign of `subject`.
  auto TakeRequesters(const VmId& subject) -> std::vector<VmId>;

  // Drops the questions that wait for too long.
  auto Expire(TimePoint now) -> void;

 private:
  struct PendingProbe {
    VmId requester;
    VmId subject;
    TimePoint until;
  };

  std::vector<PendingProbe> pending_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PENDING_INDIRECT_PROBES_H_
