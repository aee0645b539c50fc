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
  std::vector<std::size_t> indexes;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].liveness == Liveness::kAlive && !members[i].leaving) {
      indexes.push_back(i);
    }
  }
  return Best(members, indexes, size);
}

}  // namespace flamingoyoke
