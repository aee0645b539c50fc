#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBER_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBER_H_

#include <array>
#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/name_table.h"
#include "decision/fleet/vm_resources.h"

namespace flamingoyoke {

// What this node believes about another vm.
enum class Liveness {
  kUnproven,  // Listed by the platform, never heard.
  kAlive,
  kSuspect,
  kDead,
};

template <>
struct EnumNames<Liveness> {
  static constexpr auto kTable = std::to_array<NameEntry<Liveness>>({
      {Liveness::kUnproven, "unproven"},
      {Liveness::kAlive, "alive"},
      {Liveness::kSuspect, "suspect"},
      {Liveness::kDead, "dead"},
  });
};
static_assert(IsDense<Liveness>());

// One vm of the fleet as a node knows it.
struct Member {
  VmId id;
  Incarnation incarnation;
  FailureDomainId failure_domain;
  RegionId region;
  // Where callers connect, "ip:port".
  std::string address;
  // Where the mesh socket of the vm listens, "ip:port".
  std::string mesh_address;
  Liveness liveness = Liveness::kUnproven;
  bool leaving = false;
  // Whether the vm has a table in force and takes callers.
  bool ready = false;
  // Whether the vm cannot read the source of services that it should read for
  // others.
  bool lost_source = false;
  // What the vm has for callers' requests; zero if it does not say.
  VmResources capacity = {};
  // What callers' requests take there, as LoadMeter announces it.
  VmResources load = {};
  // Rises with each change that the vm announces of itself, and when it
  // refutes a claim that it is dead.
  std::uint64_t version = 0;

  auto operator==(const Member&) const -> bool = default;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBER_H_
