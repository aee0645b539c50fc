#include "standins/platform/config_store.h"

#include <utility>

namespace flamingoyoke::standin {

auto ConfigStore::Put(const std::string& key, std::string body)
    -> std::uint64_t {
  auto& value = current_[key];
  ++value.revision;
  value.body = std::move(body);
  return value.revision;
}

auto ConfigStore::Find(const std::string& key) const
    -> std::optional<ConfigValue> {
  const auto& values = frozen_ ? *frozen_ : current_;
  const auto found = values.find(key);
  return found == values.end() ? std::nullopt
                               : std::optional<ConfigValue>(found->second);
}

auto ConfigStore::SetFrozen(bool frozen) -> void {
  if (!frozen) {
    frozen_.reset();
  } else if (!frozen_) {
    frozen_ = current_;
  }
}

}  // namespace flamingoyoke::standin
