#ifndef FLAMINGOYOKE_DECISION_DESCRIPTORS_DESCRIPTOR_BUDGET_H_
#define FLAMINGOYOKE_DECISION_DESCRIPTORS_DESCRIPTOR_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/name_table.h"

namespace flamingoyoke {

// What the descriptors of a process are used for.
enum class DescriptorUse {
  // Loops, mailboxes, listeners, the log and libzmq's own descriptors.
  kProcess,
  // Connections to and from other VMs.
  kPeers,
  // Connections to the store and of operators, and files that are open briefly.
  kControl,
  kCallers,
  kTargets,
};

template <>
struct EnumNames<DescriptorUse> {
  static constexpr auto kTable = std::to_array<NameEntry<DescriptorUse>>({
      {DescriptorUse::kProcess, "process"},
      {DescriptorUse::kPeers, "peers"},
      {DescriptorUse::kControl, "control"},
      {DescriptorUse::kCallers, "callers"},
      {DescriptorUse::kTargets, "targets"},
  });
};
static_assert(IsDense<DescriptorUse>());

// Divides the descriptors that a process may open among their uses. Only the
// parts of callers and targets are enforced, by the tasks that own those
// connections; the rest is a reserve that they leave to the other uses.
// Immutable, so thread-safe.
class DescriptorBudget {
 public:
  // `limit` is the number of descriptors that the process may open, and
  // `max_callers` the most connections of callers. Both must be positive.
  DescriptorBudget(std::uint64_t limit, std::uint64_t max_callers);

  // Returns the number of descriptors for `use`. The parts of callers and
  // targets are at least 1.
  [[nodiscard]] auto PartOf(DescriptorUse use) const -> std::uint64_t {
    return parts_[static_cast<std::size_t>(use)];
  }

 private:
  std::array<std::uint64_t, kEnumSize<DescriptorUse>> parts_{};
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DESCRIPTORS_DESCRIPTOR_BUDGET_H_
