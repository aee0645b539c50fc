#ifndef FLAMINGOYOKE_DECISION_GATEWAY_TARGET_POOL_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_TARGET_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/detection/rate_window.h"
#include "decision/gateway/target_belief.h"
#include "decision/peer/peer_message.h"
#include "table/registry.h"

namespace flamingoyoke {

// What a request needs of a target.
struct TargetWish {
  // Whether a failure would be followed by an attempt on another target.
  bool may_retry = false;
  // Bytes that the request sends.
  std::uint64_t body_bytes = 0;
  // Targets that the request was sent to before.
  const std::vector<TargetId>* tried = nullptr;
  // How long the request has waited, as a part of its objective. The longer it
  // waits for a healthy target, the better an unhealthy one looks.
  double waited_share = 0;
};

// The targets of one service as one gateway knows them: who may get work, what
// is known of their health, and which slots are taken. Evidence and slots of
// the other gateways come in by report. Not thread-safe.
class TargetPool {
 public:
  // `floor_share` is the least share of the usable targets that health never
  // excludes, 0 to 1.
  TargetPool(Random random, double floor_share);

  // Takes the registered targets of the service; leaving ones get no new work.
  // What is known of targets that stay is kept.
  auto Configure(const std::vector<RegisteredTarget>& targets,
                 const FailureDomainId& own_domain,
                 TimePoint now) -> void;

  // Returns the best target with a free slot, or nothing if the request should
  // wait or there is none.
  auto Choose(const TargetWish& wish, TimePoint now) -> std::optional<TargetId>;

  // An attempt on `target` starts or ends. An attempt that says nothing about
  // the target ends without evidence.
  auto OnStarted(const TargetId& target, TimePoint now) -> void;
  auto OnEnded(const TargetId& target,
               std::optional<Evidence> evidence,
               TimePoint now) -> void;
  // An attempt that runs takes far longer than usual.
  auto OnOverdue(const TargetId& target, TimePoint now) -> void;
  // The target said that it has no room; it gets nothing for a moment.
  auto OnShed(const TargetId& target, TimePoint now) -> void;
  // Another process answers at the target's address. It gets nothing until it
  // is registered anew.
  auto OnReplaced(const TargetId& target) -> void;
  // A request ended, with or without a success for its caller.
  auto OnRequestEnded(bool served, TimePoint now) -> void;
  // The process was paused: what peers reported is old.
  auto OnResumed() -> void;

  // Takes what the gateway `peer` saw.
  auto OnPeerReport(const VmId& peer,
                    const std::vector<TargetOutcomes>& outcomes,
                    TimePoint now) -> void;

  // Takes the requests that ended at another gateway.
  auto OnPeerRequests(const RequestCounts& requests, TimePoint now) -> void;

  // Returns the requests that ended since the last call, for the other
  // gateways.
  auto TakeRequestNews() -> RequestCounts;

  // Returns what changed since the last call, for the other gateways.
  auto TakeNews(TimePoint now) -> std::vector<TargetOutcomes>;
  [[nodiscard]] auto has_news() const -> bool { return has_news_; }

  // Whether any target may get work at all.
  [[nodiscard]] auto HasUsable() const -> bool;
  // Whether a target that is not in `tried` may get work.
  [[nodiscard]] auto HasUntried(const std::vector<TargetId>& tried) const
      -> bool;
  // Slots of the targets that may get work.
  [[nodiscard]] auto UsableSlots(TimePoint now) const -> std::uint32_t;
  // Probability that `target` is unhealthy; 1 for one that is unknown.
  [[nodiscard]] auto UnhealthyProbability(const TargetId& target,
                                          TimePoint now) const -> double;

 private:
  struct PeerUse {
    std::uint32_t in_flight = 0;
    TimePoint heard;
  };
  struct Entry {
    RegisteredTarget spec;
    TargetBelief belief;
    std::uint32_t in_flight = 0;
    std::map<VmId, PeerUse> peers;
    TimePoint registered;
    // When a gateway last gave it work, and when it last failed work.
    std::optional<TimePoint> last_used;
    // How long it may then stay without work, drawn anew each time.
    Duration idle_after = Duration::zero();
    std::optional<TimePoint> last_failed;
    TimePoint closed_until = TimePoint::min();
    bool replaced = false;
    // What the other gateways were not told yet.
    TargetOutcomes news;
    bool has_news = false;
    TimePoint told;
  };
  struct Candidate {
    Entry* entry = nullptr;
    double unhealthy = 0;
    double cost = 0;
  };

  [[nodiscard]] static auto IsUsable(const Entry& entry) -> bool;
  [[nodiscard]] static auto UsedSlots(const Entry& entry, TimePoint now)
      -> std::uint32_t;
  // Highest probability of being unhealthy with which a target gets work at
  // once.
  [[nodiscard]] auto UnhealthyLimit(TimePoint now) const -> double;
  [[nodiscard]] auto CostOf(const Entry& entry,
                            const TargetWish& wish,
                            TimePoint now) const -> double;
  // Share of failures in the last seconds; 0 for too few trials.
  [[nodiscard]] static auto FailingShare(const RateWindow& window,
                                         TimePoint now) -> double;
  // Returns a target that has got no work for so long that the floor of the
  // service would be missed, or null. Unless many requests fail, new targets
  // and those that look unhealthy are left out.
  auto FindIdleBelowFloor(const TargetWish& wish,
                          double failing_share,
                          TimePoint now) -> Entry*;
  auto FindUntested(const std::vector<Candidate>& candidates,
                    const TargetWish& wish,
                    TimePoint now) -> Entry*;
  auto Note(Entry& entry, Evidence evidence, TimePoint now) -> void;
  auto NoteUsed(Entry& entry, TimePoint now) -> void;
  auto MarkNews(Entry& entry) -> void;

  Random random_;
  double floor_share_;
  FailureDomainId own_domain_;
  std::map<TargetId, Entry> targets_;
  // Attempts and requests of all gateways.
  RateWindow outcomes_;
  RateWindow requests_;
  // Requests that the other gateways were not told yet.
  RequestCounts request_news_;
  bool has_news_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_TARGET_POOL_H_
