#ifndef FLAMINGOYOKE_DECISION_FLEET_HELPER_DUTIES_H_
#define FLAMINGOYOKE_DECISION_FLEET_HELPER_DUTIES_H_

#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace flamingoyoke {

// Questions of other nodes about a silent vm that wait for a sign of it.
// Bounded. Not thread-safe.
class HelperDuties {
 public:
  // Notes that `asker` waits for a sign of `subject`.
  auto Add(const VmId& asker, const VmId& subject, TimePoint now) -> void;

  // Removes and returns those who wait for a sign of `subject`.
  auto TakeAskers(const VmId& subject) -> std::vector<VmId>;

  // Drops the questions that wait for too long.
  auto Expire(TimePoint now) -> void;

 private:
  struct Duty {
    VmId asker;
    VmId subject;
    TimePoint until;
  };

  std::vector<Duty> duties_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_HELPER_DUTIES_H_
