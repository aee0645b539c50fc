#ifndef FLAMINGOYOKE_TESTS_SUPPORT_ENVIRONMENT_H_
#define FLAMINGOYOKE_TESTS_SUPPORT_ENVIRONMENT_H_

#include <cstdint>
#include <cstdlib>

namespace flamingoyoke {

// Returns the number in environment variable `name`; `fallback` if it is not
// set. Thread-safe unless the environment is changed.
inline auto FromEnvironment(const char* name, std::uint64_t fallback)
    -> std::uint64_t {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : std::strtoull(value, nullptr, 10);
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_SUPPORT_ENVIRONMENT_H_
