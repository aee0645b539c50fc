#ifndef FLAMINGOYOKE_NODE_LISTEN_ERROR_H_
#define FLAMINGOYOKE_NODE_LISTEN_ERROR_H_

#include <string>

#include "core/result.h"

namespace flamingoyoke {

// Creates the error of a task that cannot listen on `address` because of the
// system error `error_number`: kAddressInUse or kResourceRefused, which
// supervisors retry, or kSocketFailed. `reason` describes the system error.
// Thread-safe.
auto FailListen(const std::string& address,
                int error_number,
                const std::string& reason) -> boost::leaf::error_id;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_LISTEN_ERROR_H_
