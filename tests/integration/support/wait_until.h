#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_WAIT_UNTIL_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_WAIT_UNTIL_H_

#include <chrono>
#include <functional>

namespace flamingoyoke::integration {

// Polls `condition` every 20 ms until it returns true; returns false after
// `limit`. Use generous limits, as the machine may be busy: they only end a
// test that would hang.
auto WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit) -> bool;

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_WAIT_UNTIL_H_
