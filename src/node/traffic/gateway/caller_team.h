#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_CALLER_TEAM_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_CALLER_TEAM_H_

#include <array>
#include <optional>

#include "core/ids.h"
#include "core/name_table.h"
#include "node/dialect.h"
#include "node/traffic/http_message.h"
#include "table/routing.h"
#include "table/team_index.h"

namespace flamingoyoke {

// Why the headers of a request name no team.
enum class KeyProblem { kMissing, kUnknown, kAmbiguous, kRevoked };

template <>
struct EnumNames<KeyProblem> {
  static constexpr auto kTable = std::to_array<NameEntry<KeyProblem>>({
      {KeyProblem::kMissing, "missing"},
      {KeyProblem::kUnknown, "unknown"},
      {KeyProblem::kAmbiguous, "ambiguous"},
      {KeyProblem::kRevoked, "revoked"},
  });
};
static_assert(IsDense<KeyProblem>());

// The team of a request, or why it has none.
struct CallerTeam {
  // Valid as long as the index that it was found in.
  const Team* team = nullptr;
  std::optional<KeyProblem> problem;

  // Returns the id of the team; empty if there is none.
  [[nodiscard]] auto id() const -> TeamId {
    return team == nullptr ? TeamId() : team->id;
  }
};

// Returns the team whose key the headers name. Several headers may repeat one
// key; different keys are ambiguous. Thread-safe.
auto FindCallerTeam(const HeaderNames& names,
                    const HttpHeaders& headers,
                    const TeamIndex& teams) -> CallerTeam;

// Returns why a request to the route is unauthorized, or nothing if it may run.
// Thread-safe.
auto CheckCallerTeam(const CallerTeam& caller,
                     const Route& route,
                     const TeamIndex& teams) -> std::optional<KeyProblem>;

// Removes all headers with a key or the name of a team from a request that is
// forwarded, and names `team` unless it is empty. Thread-safe.
auto ReplaceTeamHeaders(const HeaderNames& names,
                        const TeamId& team,
                        HttpHeaders& headers) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_CALLER_TEAM_H_
