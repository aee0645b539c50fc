#ifndef FLAMINGOYOKE_DECISION_FLEET_TABLE_HISTORY_H_
#define FLAMINGOYOKE_DECISION_FLEET_TABLE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace flamingoyoke {

// Bounds on the past versions that are kept of each shard. The last one is kept
// whatever its size is.
inline constexpr std::size_t kMaxPastVersions = 8;
inline constexpr std::size_t kMaxPastBytes = std::size_t{512} << 10;

// Keeps the last versions that were in force, so that a peer that still has one
// of them can be sent the difference to the version in force. Not thread-safe.
class TableHistory {
 public:
  // Adds the version that was in force until now.
  auto Add(std::uint32_t shard, std::uint64_t hash, std::string text) -> void;

  // Returns the text of a version, or nullptr. Valid until the next Add.
  [[nodiscard]] auto Find(std::uint32_t shard, std::uint64_t hash) const
      -> const std::string*;

 private:
  struct PastVersion {
    std::uint64_t hash = 0;
    std::string text;
  };

  // The latest version of each shard comes first.
  std::map<std::uint32_t, std::deque<PastVersion>> versions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_TABLE_HISTORY_H_
