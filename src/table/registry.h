#ifndef FLAMINGOYOKE_TABLE_REGISTRY_H_
#define FLAMINGOYOKE_TABLE_REGISTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"

namespace flamingoyoke {

// A target registered in the published store. The id and the start time
// identify one process: a different process at the same address differs in at
// least one of them.
struct RegisteredTarget {
  TargetId id;
  ServiceId service;
  std::string host;
  std::uint16_t port = 0;
  FailureDomainId failure_domain;
  // Maximum number of requests that the target runs concurrently.
  std::uint32_t slots = 1;
  // Whether the target announced that it is shutting down.
  bool leaving = false;
  // Whether the target is still warming up after its start.
  bool warming = false;
  // Wall-clock start time of the target in milliseconds.
  std::int64_t started_ms = 0;
  // Number of the target's report that this state is from. Increases with each
  // report of one start; 0 if the target does not number its reports.
  std::uint64_t sequence = 0;

  auto operator==(const RegisteredTarget&) const -> bool = default;
};

// Returns whether two reports state the same, whatever their numbers are.
// Thread-safe.
inline auto IsSameRegistration(const RegisteredTarget& a, RegisteredTarget b)
    -> bool {
  b.sequence = a.sequence;
  return a == b;
}

// The registered targets, sorted by id. Ordered by era, then revision.
struct Registry {
  Revision revision;
  std::vector<RegisteredTarget> targets;
  StoreEra era = {};

  auto operator==(const Registry&) const -> bool = default;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_REGISTRY_H_
