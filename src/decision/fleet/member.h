#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBER_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBER_H_

#include <array>
#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/name_table.h"
#include "decision/fleet/vm_resources.h"

namespace flamingoyoke {

// State of another VM as this node sees it.
enum class Liveness {
  kUnproven,  // Only listed by the platform, or unconfirmed after a pause.
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

// A VM of the fleet as a node knows it.
struct Member {
  VmId id;
  Incarnation incarnation;
  FailureDomainId failure_domain;
  RegionId region;
  // Address for callers, "ip:port".
  std::string address;
  // Listening address of the VM's mesh socket, "ip:port".
  std::string mesh_address;
  Liveness liveness = Liveness::kUnproven;
  bool leaving = false;
  // Whether the VM has a table in force and accepts callers.
  bool ready = false;
  // Whether the VM failed to read the source of services, which it should read
  // on behalf of the fleet.
  bool lost_source = false;
  // Capacity for callers' requests; zero if not announced.
  VmResources capacity = {};
  // Load from callers' requests, as LoadMeter computes it.
  VmResources load = {};
  // Incremented with each change that the VM announces about itself, and when
  // it refutes a report of its death.
  std::uint64_t version = 0;

  auto operator==(const Member&) const -> bool = default;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBER_H_
