#ifndef FLAMINGOYOKE_RUNTIME_SYSTEM_LIMITS_H_
#define FLAMINGOYOKE_RUNTIME_SYSTEM_LIMITS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace flamingoyoke {

// Limits on what this process takes from the system. A limit is empty where
// there is none or it cannot be read.
struct SystemLimits {
  // Threads of all processes of the user, and of the process's control group.
  std::optional<std::uint64_t> user_tasks;
  std::optional<std::uint64_t> group_tasks;
  std::optional<std::uint64_t> descriptors;
  std::optional<std::uint64_t> address_space_bytes;
};

// Reads the limits in force. Thread-safe.
auto ReadSystemLimits() -> SystemLimits;

// Returns for example "tasks of the user 512, tasks of the control group
// unlimited, descriptors 4096, address space unlimited". Thread-safe.
auto Describe(const SystemLimits& limits) -> std::string;

// Returns the file with the limit on tasks of a control group, given the
// content of /proc/self/cgroup; empty if that names no such group. Limits of
// the groups above it also apply and are not read. Thread-safe.
auto FindGroupTaskLimit(const std::string& cgroups) -> std::string;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_SYSTEM_LIMITS_H_
