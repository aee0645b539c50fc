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

// All evidence of one service on one node: its owned targets and the reports
// of other members. Answers how a target compares with its peers, which are
// the other owned targets, one group each, and each other member. Not
// thread-safe.
class ServiceStats {
 public:
  // Bounds the memory; home sets have a few members.
  static constexpr std::size_t kMaxMembers = 16;

  // Returns the evidence about an owned target, empty at first.
  auto Owned(const TargetId& target) -> TargetStats& { return owned_[target]; }

  // Returns the server errors that callers of this node met on targets of
  // other owners.
  auto BorrowedCallerErrors() -> RateWindow& { return borrowed_caller_errors_; }

  // Forgets a target that is not owned any more.
  auto Forget(const TargetId& target) -> void { owned_.erase(target); }

  auto OnLoadReport(const VmId& sender, const LoadReport& report, TimePoint now)
      -> void;
  auto ForgetMember(const VmId& member) -> void { members_.erase(member); }

  // Forgets everything, since it is out of date after a pause.
  auto Clear() -> void;

  // Returns the failure rate of the peers over the last 12.8 s, without the
  // worst group, so that one ill peer does not hide another. Without peers
  // it is a small constant.
  auto PeerFailureRate(const TargetId& target,
                       FailureClass failure_class,
                       TimePoint now) -> double;

  // Returns the failure rate to hold against a target whose evidence began at
  // `onset`: that of the peers since then, without the worst group, or that
  // of the best of the other owned targets, if higher. When all targets that
  // this node owns fail, the cause is its callers or its links.
  [[nodiscard]] auto PeerFailureRateSince(const TargetId& target,
                                          FailureClass failure_class,
                                          TimePoint onset,
                                          TimePoint now) const -> double;

  // Returns the server errors that callers of this node met on all other
  // targets since `onset`.
  [[nodiscard]] auto CallerErrorsElsewhereSince(const TargetId& target,
                                                TimePoint onset,
                                                TimePoint now) const
      -> OutcomeCounts;

  // Returns the median of the peers' p95 of response times, or nothing
  // without figures.
  auto PeerP95(const TargetId& target, TimePoint now)
      -> std::optional<Duration>;

  // Returns the age from which an attempt is overdue. Follows the response
  // times of all targets; rises at once when the whole service slows down.
  auto OverdueThreshold(TimePoint now) -> Duration;

  // Returns whether most peers fail or are silent as well, so that the cause
  // is not the target.
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
