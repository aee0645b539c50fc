#include "decision/fleet/reader_election.h"

#include <algorithm>
#include <cstdint>

#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

auto ScoreOf(const VmId& vm) -> std::uint64_t {
  static const auto key = HashOf("reader");
  return RendezvousScore(key, HashOf(vm.value()));
}

}  // namespace

auto IsElectedReader(const VmId& self, const std::vector<Member>& members)
    -> bool {
  const auto own =
      std::find_if(members.begin(), members.end(),
                   [&](const Member& member) { return member.id == self; });
  if (own == members.end() || own->leaving) {
    return false;
  }
  const auto score = ScoreOf(self);
  std::size_t better = 0;
  for (const auto& member : members) {
    if (member.id == self || member.leaving ||
        member.liveness != Liveness::kAlive ||
        member.failure_domain != own->failure_domain) {
      continue;
    }
    const auto other = ScoreOf(member.id);
    if (other > score || (other == score && member.id < self)) {
      ++better;
    }
  }
  return better < kReadersPerDomain;
}

}  // namespace flamingoyoke
