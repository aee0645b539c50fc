#ifndef FLAMINGOYOKE_DECISION_FLEET_PUBLISHED_SHARD_H_
#define FLAMINGOYOKE_DECISION_FLEET_PUBLISHED_SHARD_H_

#include <cstdint>

namespace flamingoyoke {

// Shards that carry the contents of a published store through the fleet, used
// instead of the shards of the operators' table.
inline constexpr std::uint32_t kRoutingShard = 0;
inline constexpr std::uint32_t kRegistryShard = 1;
inline constexpr std::uint32_t kPublishedShards = 2;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PUBLISHED_SHARD_H_
