#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_VERIFIER_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_VERIFIER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/probe_budget.h"

namespace flamingoyoke {

// The answer to one member that requested a verification.
struct VerificationAnswer {
  VmId requester;
  TargetId target;
  bool reachable = false;
};

// Probes targets on behalf of other members, within this node's part of the
// probe limit. Not thread-safe.
class TargetVerifier {
 public:
  // A result is reused for this long, so that two members that both consider
  // themselves the owner cost only one probe.
  static constexpr Duration kResultLifetime = std::chrono::milliseconds(500);
  // A requester that has waited this long for the probe limit has asked another
  // member meanwhile.
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(200);
  // After a positive answer, this node is ready to take the target over from
  // the requester for this long.
  static constexpr Duration kConfirmationLifetime = std::chrono::seconds(10);
  // Limits the memory per target.
  static constexpr std::size_t kMaxRequesters = 16;

  auto OnRequest(const VmId& requester, const TargetId& target, TimePoint now)
      -> void;

  // Records the result of any probe of this node, whoever started it.
  auto OnProbe(const TargetId& target, bool passed, TimePoint now) -> void;

  // Returns whether the caller has to start a probe of `target` now.
  auto TryProbe(const TargetId& target, ProbeBudget& budget, TimePoint now)
      -> bool;

  // Returns the answers to send now. A probe without a result counts as failed
  // after `probe_timeout`. If it passes later, a second answer corrects the
  // first.
  auto TakeAnswers(Duration probe_timeout, TimePoint now)
      -> std::vector<VerificationAnswer>;

  // Returns the targets that need a probe that has not started.
  [[nodiscard]] auto TargetsAwaitingProbe() const -> std::vector<TargetId>;

  // Returns whether this node recently answered `requester` that it reaches
  // the target.
  [[nodiscard]] auto HasConfirmedReachable(const VmId& requester,
                                           const TargetId& target,
                                           TimePoint now) const -> bool;

  // Returns when TakeAnswers() is next due without an event, or
  // TimePoint::max().
  [[nodiscard]] auto NextWake(Duration probe_timeout) const -> TimePoint;

  auto Clear() -> void { verifications_.clear(); }

 private:
  struct VerificationState {
    std::set<VmId> requesters;
    TimePoint requested_at;
    // Requesters that were answered that the target is unreachable.
    std::set<VmId> answered_unreachable;
    std::map<VmId, TimePoint> confirmed_at;
    std::optional<TimePoint> probe_started;
    std::optional<bool> result;
    TimePoint result_at;
  };

  std::map<TargetId, VerificationState> verifications_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_VERIFIER_H_
