#ifndef FLAMINGOYOKE_BENCH_LOAD_POLICIES_H_
#define FLAMINGOYOKE_BENCH_LOAD_POLICIES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "core/name_table.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/gateway/load_estimate.h"

namespace flamingoyoke {

// Ways in which the gateways of a simulation choose targets.
enum class LoadPolicy {
  kProduct,
  kRandom,
  kTwoChoices,
  kAgedTwo,
  kAgedFour,
  kOwnRates,
  kIdleQueues,
  kLentSlots,
  kOneQueue,
};

template <>
struct EnumNames<LoadPolicy> {
  static constexpr auto kTable = std::to_array<NameEntry<LoadPolicy>>({
      {LoadPolicy::kProduct, "product"},
      {LoadPolicy::kRandom, "random"},
      {LoadPolicy::kTwoChoices, "two choices on stated load"},
      {LoadPolicy::kAgedTwo, "aged estimate, 2 drawn"},
      {LoadPolicy::kAgedFour, "aged estimate, 4 drawn"},
      {LoadPolicy::kOwnRates, "own rate for each target"},
      {LoadPolicy::kIdleQueues, "idle queues"},
      {LoadPolicy::kLentSlots, "owners with slots lent"},
      {LoadPolicy::kOneQueue, "one queue for all (ideal)"},
  });
};
static_assert(IsDense<LoadPolicy>());

// What one gateway knows of a target.
struct KnownTarget {
  std::uint32_t slots = 1;
  // Requests of this gateway at the target.
  std::uint32_t own = 0;
  bool owned = false;
  std::optional<StatedLoad> stated;
  LoadEstimate estimate;
};

// Free slots of the targets in the books of their owners.
using SlotLedger = std::vector<std::uint32_t>;

// What a policy chooses by.
struct PolicyView {
  const std::vector<KnownTarget>& targets;
  Random& random;
  TimePoint now;
};

// Each policy has a Choose, which returns a target or nothing if the request
// waits at the gateway, and OnAnswered, which takes the news of an answer.
struct RandomPolicy {
  auto Choose(const PolicyView& view) -> std::optional<std::size_t>;
  auto OnAnswered(std::size_t, AttemptResult, const PolicyView&) -> void {}
};

struct TwoChoicesPolicy {
  auto Choose(const PolicyView& view) -> std::optional<std::size_t>;
  auto OnAnswered(std::size_t, AttemptResult, const PolicyView&) -> void {}
};

// The lowest share of the slots in use by the estimate, of a few drawn targets.
struct AgedEstimatePolicy {
  std::size_t drawn = 2;

  auto Choose(const PolicyView& view) -> std::optional<std::size_t>;
  auto OnAnswered(std::size_t, AttemptResult, const PolicyView&) -> void {}
};

// Requests per second that a gateway allots itself for each target. An answer
// without requests waiting at the target raises the rate, another one lowers
// it.
struct OwnRatesPolicy {
  struct Allotment {
    double rate = 0;
    double tokens = 0;
    TimePoint refilled;
  };
  std::vector<Allotment> allotments = {};

  auto Choose(const PolicyView& view) -> std::optional<std::size_t>;
  auto OnAnswered(std::size_t target,
                  AttemptResult result,
                  const PolicyView& view) -> void;
};

// A target with a free slot joins the queue of the gateway that it answers.
struct IdleQueuesPolicy {
  std::vector<std::size_t> idle = {};

  auto Choose(const PolicyView& view) -> std::optional<std::size_t>;
  auto OnAnswered(std::size_t target,
                  AttemptResult result,
                  const PolicyView& view) -> void;
};

// A gateway uses the slots of its own targets and asks the owners of two drawn
// ones for a slot otherwise. No target gets more requests than it has slots.
struct LentSlotsPolicy {
  std::shared_ptr<SlotLedger> ledger;

  auto Choose(const PolicyView& view) -> std::optional<std::size_t>;
  auto OnAnswered(std::size_t target, AttemptResult, const PolicyView&) -> void;
};

// For a single gateway that knows all: the fastest target with a free slot.
struct OneQueuePolicy {
  auto Choose(const PolicyView& view) -> std::optional<std::size_t>;
  auto OnAnswered(std::size_t, AttemptResult, const PolicyView&) -> void {}
};

using AnyLoadPolicy = std::variant<RandomPolicy,
                                   TwoChoicesPolicy,
                                   AgedEstimatePolicy,
                                   OwnRatesPolicy,
                                   IdleQueuesPolicy,
                                   LentSlotsPolicy,
                                   OneQueuePolicy>;

// Returns the policy of one gateway; `policy` must not be kProduct.
auto MakeLoadPolicy(LoadPolicy policy,
                    const std::shared_ptr<SlotLedger>& ledger) -> AnyLoadPolicy;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_LOAD_POLICIES_H_
