#ifndef FLAMINGOYOKE_DECISION_DETECTION_PATH_CHECK_H_
#define FLAMINGOYOKE_DECISION_DETECTION_PATH_CHECK_H_

#include <array>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"
#include "decision/detection/probe_budget.h"

namespace flamingoyoke {

enum class PathVerdict {
  kPending,
  kPathWorks,        // A new connection works; the old ones went silent.
  kTargetDown,       // Neither this node nor a verifier reaches the target.
  kUnreachableHere,  // A verifier reaches the target, this node does not.
  kUnverified,       // This node does not reach it; no member could verify it.
};

template <>
struct EnumNames<PathVerdict> {
  static constexpr auto kTable = std::to_array<NameEntry<PathVerdict>>({
      {PathVerdict::kPending, "pending"},
      {PathVerdict::kPathWorks, "path-works"},
      {PathVerdict::kTargetDown, "target-down"},
      {PathVerdict::kUnreachableHere, "unreachable-here"},
      {PathVerdict::kUnverified, "unverified"},
  });
};
static_assert(IsDense<PathVerdict>());

// Distinguishes a silent connection, a stopped target and a network path fault:
// probes the target on a new connection, then asks other members one after the
// other to probe it too. Not thread-safe.
class PathCheck {
 public:
  // A verifier is asked if the probe has no result after this time. A probe
  // takes 25 ms, so twice that leaves it time to pass meanwhile.
  static constexpr Duration kVerificationDelay = std::chrono::milliseconds(50);
  // Six times the usual duration of a probe, which is 25 ms.
  static constexpr Duration kMinProbeTimeout = std::chrono::milliseconds(150);
  // Round trip to the verifier plus the inaccuracy of its timers.
  static constexpr Duration kVerificationOverhead =
      std::chrono::milliseconds(50);

  // Minimum time between this node's probe and asking a second member. The
  // answer of the first may only be late, and three probes within a second
  // exceed ProbeBudget::kFleetProbesPerSecond.
  static constexpr Duration kSecondVerifierDelay = std::chrono::seconds(1);

  struct Actions {
    bool start_probe = false;
    std::optional<VmId> ask_verifier;
  };

  // `verifiers` are asked in this order; at most the first two of them.
  PathCheck(std::vector<VmId> verifiers, TimePoint now);

  // Uses a probe of this node that has been running since `started`.
  auto AdoptProbe(TimePoint started) -> void;

  // Records the result of a probe of this node. A pass counts even after a
  // timeout.
  auto OnProbe(bool passed) -> void;

  // Records the answer of a member. Answers of members asked earlier count too.
  auto OnVerifyAnswer(const VmId& sender, bool reachable) -> void;

  // Returns the actions that are due. `probe_timeout` is how long a probe may
  // take at the current response times of the service.
  auto Advance(Duration probe_timeout, ProbeBudget& budget, TimePoint now)
      -> Actions;

  // Returns the current verdict. A late pass or answer can still change it from
  // kTargetDown to another one.
  [[nodiscard]] auto Verdict() const -> PathVerdict;

  // Returns whether this node's probe reported a failure, such as a refused or
  // reset connection, as opposed to no answer so far.
  [[nodiscard]] auto IsExplicitFailure() const -> bool {
    return local_probe_ == LocalProbe::kFailed && is_explicit_failure_;
  }

  // Returns the member that reached the target, or nothing.
  [[nodiscard]] auto ReachedBy() const -> const std::optional<VmId>& {
    return reached_by_verifier_;
  }

  // Returns when Advance() is next due without an event, or nothing.
  [[nodiscard]] auto NextWake(Duration probe_timeout,
                              const ProbeBudget& budget) const
      -> std::optional<TimePoint>;

 private:
  // Returns when the next member may be asked, or when the answer of the last
  // one is overdue. Requires that a member was asked.
  [[nodiscard]] auto NextAskAt(Duration probe_timeout) const -> TimePoint;

  enum class LocalProbe { kNotStarted, kRunning, kPassed, kFailed };

  std::vector<VmId> verifiers_;
  TimePoint started_;
  LocalProbe local_probe_ = LocalProbe::kNotStarted;
  TimePoint probe_started_;
  std::size_t asked_count_ = 0;
  std::optional<TimePoint> asked_at_;
  bool is_explicit_failure_ = false;
  bool is_refuted_by_verifier_ = false;
  bool has_no_verifier_left_ = false;
  std::optional<VmId> reached_by_verifier_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_PATH_CHECK_H_
