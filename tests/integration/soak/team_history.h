#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_TEAM_HISTORY_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_TEAM_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "integration/soak/ended_call.h"

namespace flamingoyoke::integration {

// A time in which the published configuration lacks a key. Each end is the
// time from a write to its acknowledgement.
struct KeyAbsence {
  Interval removed;
  std::optional<Interval> returned;
};

// A limit that was published.
struct PublishedLimit {
  // From the write to its acknowledgement.
  Interval published;
  double rate_per_s = 0;
  double burst = 0;
};

// What the operator did to keys and limits.
struct TeamHistory {
  std::map<std::string, std::vector<KeyAbsence>> absences;
  // By team of the settings, each in the order of its changes.
  std::vector<std::vector<PublishedLimit>> limits;
  // When the store did not answer, or had lost changes.
  std::vector<Interval> store_away;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_TEAM_HISTORY_H_
