#ifndef FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_CONFIG_STORE_H_
#define FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_CONFIG_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace flamingoyoke::standin {

// A value with its revision; the first revision of a key is 1.
struct ConfigValue {
  std::uint64_t revision = 0;
  std::string body;
};

// The published values. While frozen, readers see the values from the time of
// the freeze. Not thread-safe.
class ConfigStore {
 public:
  // Stores `body` under the next revision of `key` and returns it.
  auto Put(const std::string& key, std::string body) -> std::uint64_t;

  // Returns what readers see under `key`, or nothing.
  [[nodiscard]] auto Find(const std::string& key) const
      -> std::optional<ConfigValue>;

  // Starts or ends the freeze.
  auto SetFrozen(bool frozen) -> void;

 private:
  std::map<std::string, ConfigValue> current_;
  std::optional<std::map<std::string, ConfigValue>> frozen_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_CONFIG_STORE_H_
