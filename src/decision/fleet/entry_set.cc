#include "decision/fleet/entry_set.h"

#include "decision/fleet/home_set.h"

namespace flamingoyoke {
namespace {

// Key of the home set, in place of a service.
const auto* const kGatewayKey = "gateway";

auto Best(const std::vector<Member>& members,
          const std::vector<std::size_t>& indexes,
          std::size_t size) -> std::vector<VmId> {
  const HomeCandidates candidates(members, indexes);
  std::vector<VmId> vms;
  for (const auto index : candidates.Best(ServiceId(kGatewayKey), size)) {
    vms.push_back(members[index].id);
  }
  return vms;
}

}  // namespace

auto EntryVms(const std::vector<Member>& members, std::size_t size)
    -> std::vector<VmId> {
  return Best(members, ServingIndexes(members), size);
}

auto ReaderVms(const std::vector<Member>& members, std::size_t size)
    -> std::vector<VmId> {
  std::vector<std::size_t> able;
  std::vector<std::size_t> lost;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].liveness == Liveness::kAlive && !members[i].leaving) {
      (members[i].lost_source ? lost : able).push_back(i);
    }
  }
  auto readers = Best(members, able, size);
  for (const auto& vm : Best(members, lost, size - readers.size())) {
    readers.push_back(vm);
  }
  return readers;
}

}  // namespace flamingoyoke
