#ifndef FLAMINGOYOKE_DECISION_DETECTION_SERVICE_STATS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_SERVICE_STATS_H_

#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/failure_class.h"
#include "decision/detection/member_stats.h"
#include "decision/detection/target_stats.h"

namespace flamingoyoke {

// Statistics of one service on one node, from its owned targets and the load
// reports of other members. Compares a target with its peers: each other owned
// target and each other member form one group. Not thread-safe.
class ServiceStats {
 public:
  // Limits the memory. Home sets only have a few members.
  static constexpr std::size_t kMaxMembers = 16;

  // Returns the statistics of an owned target, initially empty.
  auto Owned(const TargetId& target) -> TargetStats& { return owned_[target]; }

  // Returns the server errors that callers of this node received from targets
  // of other owners.
  auto BorrowedCallerErrors() -> RateWindow& { return borrowed_caller_errors_; }

  // Removes a target that is no longer owned.
  auto Forget(const TargetId& target) -> void { owned_.erase(target); }

  auto OnLoadReport(const VmId& sender, const LoadReport& report, TimePoint now)
      -> void;
  auto ForgetMember(const VmId& member) -> void { members_.erase(member); }

  // Clears all statistics, which are stale after a pause of the process.
  auto Clear() -> void;

  // Returns the failure rate of the peers over the last 12.8 s. The worst group
  // is left out, so that one unhealthy peer does not mask another. Without
  // peers, the rate is a small constant.
  auto PeerFailureRate(const TargetId& target,
                       FailureClass failure_class,
                       TimePoint now) -> double;

  // Returns the reference failure rate for a target whose CUSUM test rose from
  // zero at `onset`: the rate of the peers since then without the worst group,
  // or the lowest rate among the other owned targets, whichever is higher. If
  // all targets that this node owns fail, the cause is its callers or its
  // links.
  [[nodiscard]] auto PeerFailureRateSince(const TargetId& target,
                                          FailureClass failure_class,
                                          TimePoint onset,
                                          TimePoint now) const -> double;

  // Returns the server errors that callers of this node received from all other
  // targets since `onset`.
  [[nodiscard]] auto CallerErrorsElsewhereSince(const TargetId& target,
                                                TimePoint onset,
                                                TimePoint now) const
      -> OutcomeCounts;

  // Returns the median of the peers' p95 response times, or nothing without
  // data.
  auto PeerP95(const TargetId& target, TimePoint now)
      -> std::optional<Duration>;

  // Returns the age from which an attempt is overdue. It follows the response
  // times of all targets and rises immediately when the whole service slows
  // down.
  auto OverdueThreshold(TimePoint now) -> Duration;

  // Returns whether most peers fail or are silent too, so that the target is
  // not the cause.
  auto IsCommonCause(const TargetId& target, TimePoint now) -> bool;

 private:
  std::map<TargetId, TargetStats> owned_;
  std::map<VmId, MemberStats> members_;
  RateWindow borrowed_caller_errors_;
  TimePoint overdue_threshold_at_;
  Duration overdue_threshold_ = Duration::zero();
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_SERVICE_STATS_H_
