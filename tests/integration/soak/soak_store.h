#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_STORE_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_STORE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "integration/soak/soak_settings.h"
#include "integration/soak/team_history.h"
#include "integration/support/published_fleet.h"

namespace flamingoyoke::integration {

// Key of a team without a limit, which is never taken away.
inline constexpr const char* kOperatorKey = "operator-1";

// What the operator and the targets of a soak write to the store. Not
// thread-safe.
class SoakStore {
 public:
  // `fleet` and `settings` must outlive the object.
  SoakStore(PublishedStoreFleet& fleet, const SoakSettings& settings);

  // Publishes the next version of the configuration with a further route.
  auto AddRoute(const std::string& prefix) -> void;
  // Publishes a version with `count` further routes that nobody calls.
  auto AddIdleRoutes(std::size_t count) -> void;

  // Publishes a version without `key`, unless an earlier one has taken it away.
  auto TakeKey(const std::string& key) -> void;
  // Ends a call of TakeKey; the last one publishes a version with the key.
  auto GiveKeyBack(const std::string& key) -> void;
  // Publishes `factor` times the rate and burst of the settings for a team.
  auto ChangeLimit(std::size_t team, double factor) -> void;
  // Records that the store did not answer, or lacked changes, in `time`.
  auto MarkAway(const Interval& time) -> void;

  // Writes the state of a target. A target that is `ready` starts anew.
  auto Register(std::size_t target, const std::string& state) -> void;
  // Writes entries again, of all targets in turn. Precondition: all are
  // registered.
  auto SendHeartbeats(std::size_t count) -> void;
  // Writes again what the store has lost in a return.
  auto WriteAgain() -> void;

  [[nodiscard]] auto history() const -> const TeamHistory& { return history_; }

 private:
  // Returns the time from the write to its acknowledgement.
  auto Publish() -> Interval;
  [[nodiscard]] auto TeamsJson() const -> nlohmann::json;

  PublishedStoreFleet& fleet_;
  const SoakSettings& settings_;
  int version_ = 10;
  std::vector<std::string> added_routes_;
  std::size_t idle_routes_ = 0;
  // How often each key is taken away at present.
  std::map<std::string, int> taken_;
  // By team of the settings.
  std::vector<double> limit_factors_;
  TeamHistory history_;
  // How often each target started anew.
  std::map<std::size_t, int> starts_;
  int sequence_ = 1;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_STORE_H_
