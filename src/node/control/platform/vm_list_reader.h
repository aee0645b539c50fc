#ifndef FLAMINGOYOKE_NODE_CONTROL_PLATFORM_VM_LIST_READER_H_
#define FLAMINGOYOKE_NODE_CONTROL_PLATFORM_VM_LIST_READER_H_

#include <string_view>
#include <vector>

#include "core/result.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Parses the platform's VM list, a JSON object with an array `vms`. Logs and
// leaves out entries with a missing or invalid field. Fails with
// kPlatformUnavailable if the JSON is malformed. Thread-safe.
auto ParseVmList(std::string_view json) -> Result<std::vector<Member>>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_PLATFORM_VM_LIST_READER_H_
