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
  kPathWorks,        // A fresh connection works: old ones went silent.
  kTargetDown,       // Neither this node nor the verifier reaches it.
  kUnreachableHere,  // The verifier reaches it, this node does not.
  kUnverified,       // This node does not reach it and nobody could verify.
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

// Tells a silent connection, a stopped target and a path fault apart: probes
// on a fresh connection, then asks members in turn to probe from elsewhere.
// Not thread-safe.
class PathCheck {
 public:
  // A probe takes 25 ms; twice that is late enough to ask a verifier while
  // this node's own probe still has time to pass.
  static constexpr Duration kVerificationDelay = std::chrono::milliseconds(50);
  // Six times the usual duration of a probe.
  static constexpr Duration kMinProbeTimeout = std::chrono::milliseconds(150);
  // Round trip to the verifier and the slack of its timers.
  static constexpr Duration kVerificationOverhead =
      std::chrono::milliseconds(50);

  // A second member is asked this long after this node's own probe: the answer
  // of the first may be late rather than missing, and three probes within a
  // second exceed ProbeBudget::kFleetProbesPerSecond.
  static constexpr Duration kSecondVerifierDelay = std::chrono::seconds(1);

  struct Actions {
    bool start_probe = false;
    std::optional<VmId> ask_verifier;
  };

  // `verifiers` are asked in this order, the first two of them at most.
  PathCheck(std::vector<VmId> verifiers, TimePoint now);

  // Says that a probe of this node runs since `started`.
  auto AdoptProbe(TimePoint started) -> void;

  // Takes the result of a probe of this node; a late pass counts.
  auto OnProbe(bool passed) -> void;

  // Takes the answer of a member; others than the one asked last count too.
  auto OnVerifyAnswer(const VmId& sender, bool reachable) -> void;

  // Starts what is due. `probe_timeout` is how long a probe may take at the
  // present response times of the service.
  auto Advance(Duration probe_timeout, ProbeBudget& budget, TimePoint now)
      -> Actions;

  // Returns what is known. The verdict can still change from kTargetDown to
  // others while the caller waits, if a late pass arrives.
  [[nodiscard]] auto Verdict() const -> PathVerdict;

  // Returns whether this node's probe was refused or broken rather than
  // unanswered so far.
  [[nodiscard]] auto IsExplicitFailure() const -> bool {
    return local_probe_ == LocalProbe::kFailed && is_explicit_failure_;
  }

  // Returns the member that reached the target, if any.
  [[nodiscard]] auto ReachedBy() const -> const std::optional<VmId>& {
    return reached_by_verifier_;
  }

  // Returns when Advance() has something to do next.
  [[nodiscard]] auto NextWake(Duration probe_timeout,
                              const ProbeBudget& budget) const
      -> std::optional<TimePoint>;

 private:
  // Returns when the next member may be asked, or the answer of the last one is
  // overdue. Requires that a member was asked.
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
