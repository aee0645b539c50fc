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

// The answer to one member that asked for verification.
struct VerificationAnswer {
  VmId requester;
  TargetId target;
  bool reachable = false;
};

// Probes targets for other members within this node's part of the probe
// bound. Not thread-safe.
class TargetVerifier {
 public:
  // A result is reused for this long, so that two owners that disagree cost
  // one probe.
  static constexpr Duration kResultLifetime = std::chrono::milliseconds(500);
  // An asker that waited this long for the probe bound has asked another
  // member.
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(200);
  // How long an answer counts as a promise to serve the target.
  static constexpr Duration kConfirmationLifetime = std::chrono::seconds(10);
  // Bounds the memory of one target.
  static constexpr std::size_t kMaxRequesters = 16;

  auto OnRequest(const VmId& requester, const TargetId& target, TimePoint now)
      -> void;

  // Takes the result of any probe of this node.
  auto OnProbe(const TargetId& target, bool passed, TimePoint now) -> void;

  // Returns whether the probe for `target` has to start now.
  auto TryProbe(const TargetId& target, ProbeBudget& budget, TimePoint now)
      -> bool;

  // Returns the answers that are due. An unanswered probe counts as failed
  // after `probe_timeout`; if it passes later, a second answer says so.
  auto TakeAnswers(Duration probe_timeout, TimePoint now)
      -> std::vector<VerificationAnswer>;

  // Returns the targets that wait for a probe.
  [[nodiscard]] auto TargetsAwaitingProbe() const -> std::vector<TargetId>;

  // Returns whether this node lately told `asker` that it reaches the target.
  [[nodiscard]] auto HasConfirmedReachable(const VmId& requester,
                                           const TargetId& target,
                                           TimePoint now) const -> bool;

  // Returns when TakeAnswers() has something to do without an event before,
  // or TimePoint::max().
  [[nodiscard]] auto NextWake(Duration probe_timeout) const -> TimePoint;

  auto Clear() -> void { verifications_.clear(); }

 private:
  struct VerificationState {
    std::set<VmId> requesters;
    TimePoint requested_at;
    // Asked, and told that the target is not reached.
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
