#ifndef FLAMINGOYOKE_DECISION_FLEET_VM_RESOURCES_H_
#define FLAMINGOYOKE_DECISION_FLEET_VM_RESOURCES_H_

#include <cstdint>

namespace flamingoyoke {

// Resources for callers' requests on a VM: either its capacity or the current
// use.
struct VmResources {
  // Thousandths of a processor core.
  std::uint32_t processor_millicores = 0;
  // Kilobits per second in each direction of the link.
  std::uint32_t link_kbps = 0;

  auto operator==(const VmResources&) const -> bool = default;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_VM_RESOURCES_H_
