#ifndef FLAMINGOYOKE_DECISION_FLEET_HOME_INDEX_H_
#define FLAMINGOYOKE_DECISION_FLEET_HOME_INDEX_H_

#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/fleet_view.h"
#include "decision/fleet/home_set.h"
#include "decision/fleet/member.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Maintains the home set of each service incrementally, so that a change of one
// VM or row does not cost a search over all VMs for each service. Gives the
// same home sets as PlacementOf. Not thread-safe.
class HomeIndex {
 public:
  // Updates the home sets for the given members and rows.
  auto Update(const std::vector<Member>& members,
              const std::vector<ServiceRow>& rows) -> void;

  // Returns the home set of `service`, best first; empty if the service is
  // unknown.
  [[nodiscard]] auto HomeOf(const ServiceId& service) const
      -> const std::vector<VmId>&;

  // Returns the placement of each of `rows` whose home set contains `vm`.
  [[nodiscard]] auto PlacementsOf(const VmId& vm,
                                  const std::vector<ServiceRow>& rows) const
      -> std::unordered_map<ServiceId, Placement>;

 private:
  struct Home {
    std::size_t size = 0;
    std::vector<VmId> vms;
  };

  std::set<VmId> serving_;
  std::unordered_map<ServiceId, Home> homes_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_HOME_INDEX_H_
