#include "node/traffic/gateway/caller_team.h"

#include <algorithm>
#include <string_view>

#include "node/traffic/http_text.h"

namespace flamingoyoke {

auto FindCallerTeam(const HeaderNames& names,
                    const HttpHeaders& headers,
                    const TeamIndex& teams) -> CallerTeam {
  std::optional<std::string_view> key;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoringCase(name, names.team_key)) {
      continue;
    }
    const auto trimmed = TrimSpace(value);
    if (key && *key != trimmed) {
      return {nullptr, KeyProblem::kAmbiguous};
    }
    key = trimmed;
  }
  if (!key || key->empty()) {
    return {nullptr, KeyProblem::kMissing};
  }
  if (const auto* team = teams.Find(*key)) {
    return {team, std::nullopt};
  }
  return {nullptr, KeyProblem::kUnknown};
}

auto CheckCallerTeam(const CallerTeam& caller,
                     const Route& route,
                     const TeamIndex& teams) -> std::optional<KeyProblem> {
  if (!teams.requires_keys() || route.is_public) {
    return std::nullopt;
  }
  return caller.problem;
}

auto ReplaceTeamHeaders(const HeaderNames& names,
                        const TeamId& team,
                        HttpHeaders& headers) -> void {
  headers.erase(std::remove_if(
                    headers.begin(), headers.end(),
                    [&](const auto& header) {
                      return EqualsIgnoringCase(header.first, names.team_key) ||
                             EqualsIgnoringCase(header.first, names.team);
                    }),
                headers.end());
  if (!team.empty()) {
    headers.emplace_back(names.team, team.value());
  }
}

}  // namespace flamingoyoke
