#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_SHARES_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_SHARES_H_

#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/detection_event.h"
#include "decision/detection/target_status.h"
#include "table/service_row.h"

namespace flamingoyoke {

// The state of a target before the capacity floor is applied.
struct DesiredShare {
  TargetStatus status;
  double severity = 0;
};

// Keeps the status of each target of a service as last published, with the
// capacity floor applied. Not thread-safe.
class TargetShares {
 public:
  // Applies the floor of `row` to `desired`, which has one entry for each
  // target of the row, in its order, and returns the changes to publish.
  auto Update(const ServiceRow& row,
              std::vector<DesiredShare> desired,
              TimePoint now) -> std::vector<SetTargetShare>;

  // Removes the statuses of all targets except `targets`.
  auto Retain(const std::set<TargetId>& targets) -> void;

  // Returns the status of a target, which must have been updated.
  [[nodiscard]] auto StatusOf(const TargetId& target) const
      -> const TargetStatus& {
    return statuses_.at(target);
  }
  // Returns the usable share of the row's total weight, 0 to 1, before the
  // floor brings any target back.
  [[nodiscard]] auto healthy_share() const -> double { return healthy_share_; }

 private:
  std::map<TargetId, TargetStatus> statuses_;
  double healthy_share_ = 1;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_SHARES_H_
