#ifndef FLAMINGOYOKE_BENCH_POLICY_GATEWAY_H_
#define FLAMINGOYOKE_BENCH_POLICY_GATEWAY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "bench/load_policies.h"
#include "decision/gateway/pool_event.h"

namespace flamingoyoke {

// A gateway with one of the policies that the product doesn't have, in the
// place of PoolDispatcher: one queue in order of arrival, a shed request goes
// to another target once. Not thread-safe.
class PolicyGateway {
 public:
  PolicyGateway(AnyLoadPolicy policy, Random random);

  // As PoolDispatcher::OnEvent.
  auto OnEvent(const PoolEvent& event, TimePoint now)
      -> std::vector<PoolAction>;

 private:
  struct Request {
    RequestId id;
    TimePoint deadline;
    std::uint32_t sent = 0;
  };
  struct Attempt {
    Request request;
    std::size_t target = 0;
    TimePoint started;
  };

  auto On(const PoolConfigured& event) -> void;
  auto On(const PoolRequestArrived& event) -> void;
  auto On(const PoolAttemptEnded& event) -> void;
  template <typename Other>
  auto On(const Other& /*event*/) -> void {}
  auto StartQueued() -> void;
  auto View() -> PolicyView { return {targets_, random_, now_}; }

  AnyLoadPolicy policy_;
  Random random_;
  TimePoint now_;
  std::vector<TargetId> ids_;
  std::vector<KnownTarget> targets_;
  std::deque<Request> queue_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::uint64_t last_attempt_ = 0;
  LoadCounters counters_;
  TimePoint wake_ = TimePoint::min();
  std::vector<PoolAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_POLICY_GATEWAY_H_
