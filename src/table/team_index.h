#ifndef FLAMINGOYOKE_TABLE_TEAM_INDEX_H_
#define FLAMINGOYOKE_TABLE_TEAM_INDEX_H_

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "table/routing.h"

namespace flamingoyoke {

// Looks up the team that holds a key. Built once for each version in force: a
// lookup is one hash of the key, whatever the number of teams. Immutable after
// construction, and therefore thread-safe.
class TeamIndex {
 public:
  TeamIndex() = default;
  // Shares ownership of `routing`. A null pointer, or a configuration without a
  // table of teams, creates an index that requires no keys.
  explicit TeamIndex(std::shared_ptr<const Routing> routing);

  // Returns whether the configuration has a table of teams, which may be empty.
  [[nodiscard]] auto requires_keys() const -> bool {
    return routing_ && routing_->teams;
  }
  [[nodiscard]] auto team_count() const -> std::size_t {
    return requires_keys() ? routing_->teams->size() : 0;
  }

  // Returns the team that holds `key`, or null. The pointer is valid for the
  // lifetime of this object.
  [[nodiscard]] auto Find(std::string_view key) const -> const Team*;

 private:
  std::shared_ptr<const Routing> routing_;
  std::unordered_map<std::string_view, const Team*> teams_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_TEAM_INDEX_H_
