#include <criterion/criterion.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "decision/detection/detector.h"
#include "unit/decision/detection/detection_fixture.h"

namespace flamingoyoke {
namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr int kSteps = 4000;

// Four detectors that receive random events, and each other's messages with
// loss, duplication and reordering.
class RandomFleet {
 public:
  explicit RandomFleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t node = 0; node < kFixtureNodes; ++node) {
      detectors_.emplace_back(Random(random_.Next()));
      Deliver(node, FixtureConfiguration(node));
    }
  }

  auto Step() -> void {
    now_ += std::chrono::microseconds(random_.Below(40'000));
    DeliverMessages();
    const auto node = random_.Below(kFixtureNodes);
    const auto target = FixtureTarget(random_.Below(kFixtureTargets));
    const auto kind = random_.Below(100);
    if (kind < 40) {
      Deliver(node, AttemptStarted{AttemptId(++attempt_), target,
                                   random_.Below(2) == 0});
      started_.push_back({node, target, attempt_});
    } else if (kind < 75 && !started_.empty()) {
      EndOneAttempt();
    } else if (kind < 85) {
      Deliver(node, ProbeEnded{target, random_.Below(3) > 0});
    } else if (kind < 94) {
      Deliver(node, DetectionTimer{});
    } else if (kind < 96) {
      const bool draining = random_.Below(2) == 0;
      Deliver(node, DrainSignalled{target, draining});
    } else if (kind < 97) {
      now_ += std::chrono::milliseconds(random_.Below(8000));
      Deliver(node, DetectionResumed{});
    } else if (kind < 98) {
      Deliver(node, DetectionPeerLost{FixtureVm(random_.Below(4))});
    } else {
      // Ownership changes: the node gets the targets of another one or none.
      auto event = FixtureConfiguration(random_.Below(kFixtureNodes));
      event.self = FixtureVm(node);
      if (random_.Below(3) == 0) {
        event.owned.clear();
      }
      Deliver(node, event);
    }
  }

  // Returns the actions of all detectors so far, as comparable text.
  [[nodiscard]] auto Trace() const -> const std::string& { return trace_; }

  // Returns a violated invariant, or an empty text.
  [[nodiscard]] auto Violation() const -> const std::string& {
    return violation_;
  }

 private:
  struct Started {
    std::size_t node;
    TargetId target;
    std::uint64_t attempt;
  };
  struct PendingMessage {
    TimePoint at;
    std::size_t from;
    std::size_t to;
    PeerMessage message;
  };

  auto EndOneAttempt() -> void {
    const auto index = random_.Below(started_.size());
    const auto entry = started_[index];
    started_.erase(started_.begin() + static_cast<std::ptrdiff_t>(index));
    const auto result = static_cast<AttemptResult>(
        random_.Below(3) > 0 ? 0 : random_.Below(kEnumSize<AttemptResult>));
    Deliver(entry.node,
            AttemptEnded{AttemptId(entry.attempt), entry.target, result,
                         std::chrono::milliseconds(random_.Below(100))});
  }

  auto DeliverMessages() -> void {
    auto due = std::exchange(pending_messages_, {});
    for (auto& pending : due) {
      if (pending.at > now_) {
        pending_messages_.push_back(pending);
      } else {
        Deliver(pending.to,
                DetectionPeerMessage{FixtureVm(pending.from), pending.message});
      }
    }
  }

  auto Deliver(std::size_t node, const DetectionEvent& event) -> void {
    const auto before = detectors_[node].Statuses();
    for (const auto& action : detectors_[node].OnEvent(event, now_)) {
      Record(node, action);
    }
    CheckFloor(node);
    CheckDrains(node, before, event);
  }

  auto Record(std::size_t node, const DetectionAction& action) -> void {
    trace_ += std::to_string(node) + ":" + std::to_string(action.index());
    if (const auto* share = std::get_if<SetTargetShare>(&action)) {
      trace_ +=
          share->target.value() + std::to_string(share->share) + share->reason;
      if (share->share < 0 || share->share > 1) {
        violation_ = "a share outside 0 to 1";
      }
    }
    const auto* send = std::get_if<SendToPeer>(&action);
    if (send == nullptr) {
      return;
    }
    trace_ += send->peer.value() + std::to_string(send->message.index());
    for (auto copies = random_.Below(5) == 0 ? random_.Below(3) : 1; copies > 0;
         --copies) {
      pending_messages_.push_back(
          {now_ + std::chrono::microseconds(random_.Below(30'000)), node,
           static_cast<std::size_t>(send->peer.value().back() - '0'),
           send->message});
    }
  }

  auto CheckFloor(std::size_t node) -> void {
    double used = 0;
    bool has_spare = false;
    for (const auto& status : detectors_[node].Statuses()) {
      used += status.share;
      has_spare = has_spare ||
                  (status.share < 1 && status.state != TargetState::kDraining);
    }
    const double floor = FixtureConfiguration(0).row.floor;
    if (has_spare && used < floor * kFixtureTargets - 1e-6) {
      violation_ = "a node uses less than the floor";
    }
  }

  // A draining target may only regain its share by a drain signal, a message,
  // a new configuration, or after a pause.
  auto CheckDrains(std::size_t node,
                   const std::vector<TargetStatus>& before,
                   const DetectionEvent& event) -> void {
    if (std::holds_alternative<DetectionResumed>(event)) {
      resumed_.insert(node);
    }
    const bool has_cause =
        std::holds_alternative<DrainSignalled>(event) ||
        std::holds_alternative<DetectionPeerMessage>(event) ||
        std::holds_alternative<DetectionConfigured>(event) ||
        resumed_.contains(node);
    const auto after = detectors_[node].Statuses();
    for (std::size_t i = 0; i < before.size(); ++i) {
      if (before[i].state == TargetState::kDraining && after[i].share > 0 &&
          !has_cause) {
        violation_ = "a draining target regained its share";
      }
    }
  }

  Random random_;
  TimePoint now_ = TimePoint(std::chrono::seconds(100));
  std::vector<Detector> detectors_;
  std::set<std::size_t> resumed_;
  std::vector<Started> started_;
  std::vector<PendingMessage> pending_messages_;
  std::uint64_t attempt_ = 0;
  std::string trace_;
  std::string violation_;
};

// Guards against violated invariants after lost, repeated, late or
// contradictory messages.
Test(detector_random, invariants_hold_in_any_order_of_events) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFleet fleet(seed);
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
      cr_assert(fleet.Violation().empty(), "seed %llu step %d: %s",
                static_cast<unsigned long long>(seed), step,
                fleet.Violation().c_str());
    }
  }
}

// Guards against decisions that depend on anything but the events and the seed.
Test(detector_random, equal_events_give_equal_actions) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    RandomFleet first(seed);
    RandomFleet second(seed);
    for (int step = 0; step < kSteps; ++step) {
      first.Step();
      second.Step();
    }
    cr_assert(first.Trace() == second.Trace(), "seed %llu",
              static_cast<unsigned long long>(seed));
  }
}

}  // namespace
}  // namespace flamingoyoke
