#ifndef FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_FLEET_FIXTURE_H_
#define FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_FLEET_FIXTURE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "decision/fleet/member.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Returns VM `index` of a fleet with `domains` failure domains.
inline auto MakeMember(std::size_t index, std::size_t domains = 4) -> Member {
  Member member;
  member.id = VmId("vm-" + std::to_string(index));
  member.incarnation = Incarnation(1);
  member.failure_domain =
      FailureDomainId("fd-" + std::to_string(index % domains));
  member.region = RegionId("r-0");
  member.address = "10.0.0." + std::to_string(index) + ":80";
  member.mesh_address = "10.0.0." + std::to_string(index) + ":7000";
  return member;
}

// Returns `count` VMs that are alive and ready.
inline auto MakeServingMembers(std::size_t count, std::size_t domains = 4)
    -> std::vector<Member> {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back(MakeMember(i, domains));
    members.back().liveness = Liveness::kAlive;
    members.back().ready = true;
  }
  return members;
}

// Returns a row with `targets` targets.
inline auto MakeRow(const std::string& service,
                    std::size_t targets,
                    std::uint32_t home = 4) -> ServiceRow {
  ServiceRow row;
  row.service = ServiceId(service);
  row.home = home;
  for (std::size_t i = 0; i < targets; ++i) {
    TargetSpec target;
    target.host = "10.1.0." + std::to_string(i);
    target.port = 8080;
    target.id = TargetId(target.host + ":8080");
    row.targets.push_back(target);
  }
  return row;
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_FLEET_FIXTURE_H_
