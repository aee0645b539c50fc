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

// Stores the published values. While frozen, reads return a snapshot taken when
// the freeze began. Not thread-safe.
class ConfigStore {
 public:
  // Stores `body` as the next revision of `key` and returns that revision.
  auto Put(const std::string& key, std::string body) -> std::uint64_t;

  // Returns the value that reads of `key` return, or nullopt if there is none.
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
