#include "integration/support/wait_until.h"

#include <thread>

namespace flamingoyoke::integration {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(20);

}  // namespace

auto WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit) -> bool {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace flamingoyoke::integration
