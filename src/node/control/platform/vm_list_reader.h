#ifndef FLAMINGOYOKE_NODE_CONTROL_PLATFORM_VM_LIST_READER_H_
#define FLAMINGOYOKE_NODE_CONTROL_PLATFORM_VM_LIST_READER_H_

#include <string_view>
#include <vector>

#include "core/result.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Returns the vms of the platform's list, a JSON object with an array `vms`.
// Fails with kPlatformUnavailable if it is not one or an entry lacks a field.
// Thread-safe.
auto ReadVmList(std::string_view json) -> Result<std::vector<Member>>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_PLATFORM_VM_LIST_READER_H_
