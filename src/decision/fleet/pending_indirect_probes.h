#ifndef FLAMINGOYOKE_DECISION_FLEET_PENDING_INDIRECT_PROBES_H_
#define FLAMINGOYOKE_DECISION_FLEET_PENDING_INDIRECT_PROBES_H_

#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace flamingoyoke {

// Indirect probes that other nodes requested and whose subjects have not
// answered yet. Of limited size. Not thread-safe.
class PendingIndirectProbes {
 public:
  // Adds a probe of `subject` for `requester`, or renews it.
  auto Add(const VmId& requester, const VmId& subject, TimePoint now) -> void;

  // Removes the probes of `subject` and returns their requesters.
  auto TakeRequesters(const VmId& subject) -> std::vector<VmId>;

  // Removes the probes that have timed out.
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
