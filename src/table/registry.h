#ifndef FLAMINGOYOKE_TABLE_REGISTRY_H_
#define FLAMINGOYOKE_TABLE_REGISTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"

namespace flamingoyoke {

// A target as it registered itself. Its id names one process: another process
// at the same address has another id or another start.
struct RegisteredTarget {
  TargetId id;
  ServiceId service;
  std::string host;
  std::uint16_t port = 0;
  FailureDomainId failure_domain;
  // Requests that the target runs at a time.
  std::uint32_t slots = 1;
  // Whether the target announced that it leaves.
  bool leaving = false;
  // Whether the target is still slow after its start.
  bool warming = false;
  // Wall-clock time of the target's start, in milliseconds.
  std::int64_t started_ms = 0;

  auto operator==(const RegisteredTarget&) const -> bool = default;
};

// The registered targets, in the order of their ids.
struct Registry {
  Revision revision;
  std::vector<RegisteredTarget> targets;

  auto operator==(const Registry&) const -> bool = default;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_REGISTRY_H_
