#ifndef FLAMINGOYOKE_DECISION_DETECTION_DETECTOR_H_
#define FLAMINGOYOKE_DECISION_DETECTION_DETECTOR_H_

#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/detection/detection_event.h"
#include "decision/detection/target_status.h"

namespace flamingoyoke {

// Decides which targets of one service this node uses. One object per service
// and node; equal events give equal actions. Not thread-safe.
class Detector {
 public:
  explicit Detector(Random random);

  // Takes one event and returns what to do. `now` must not go back between
  // calls. The first event should be DetectionConfigured; earlier ones have
  // no effect.
  auto OnEvent(const DetectionEvent& event, TimePoint now)
      -> std::vector<DetectionAction>;

  // Returns the status of each target in the order of the row.
  [[nodiscard]] auto Statuses() const -> std::vector<TargetStatus>;

  // Returns the weight of the targets that are healthy, by their share of the
  // weight of all targets of the row, 0 to 1; 1 without targets.
  [[nodiscard]] auto HealthyShare() const -> double;

  // Returns the targets that this node is responsible for now: the configured
  // ones without those handed over, and those taken over from members that
  // cannot reach them.
  [[nodiscard]] auto OwnedTargets() const -> std::vector<TargetId>;

 private:
  auto Apply(const DetectionConfigured& event, TimePoint now) -> void;
  auto Apply(const DrainSignalled& event, TimePoint now) -> void;
  auto Apply(const DetectionPeerMessage& event, TimePoint now) -> void;

  auto SetState(const TargetId& target,
                TargetState state,
                const std::string& reason,
                TimePoint now) -> void;

  Random random_;
  std::optional<DetectionConfigured> configuration_;
  std::map<TargetId, TargetStatus> statuses_;
  std::vector<DetectionAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_DETECTOR_H_
