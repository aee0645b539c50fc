#include "bench/baseline_balancer.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>

#include "unit/decision/event_queue.h"

namespace flamingoyoke {
namespace {

constexpr std::size_t kUpstreamQueue = 8;
constexpr int kMaxAttempts = 3;

class BaselineSimulation {
 public:
  BaselineSimulation(const BaselineOptions& options,
                     const std::vector<Arrival>& arrivals)
      : options_(options),
        arrivals_(arrivals),
        random_(options.seed),
        targets_(options.targets),
        nodes_(kFleetNodes,
               Node{std::vector<double>(options.targets),
                    random_.Below(options.targets)}) {}

  auto Run() -> RunResult {
    for (std::size_t next = 0; next < arrivals_.size();) {
      if (completions_.empty() ||
          arrivals_[next].at <= completions_.NextTime()) {
        now_ = arrivals_[next].at;
        Dispatch(next, 1);
        ++next;
      } else {
        CompleteNext();
      }
    }
    while (!completions_.empty()) {
      CompleteNext();
    }
    return std::move(result_);
  }

 private:
  struct Target {
    std::uint32_t busy = 0;
    std::deque<std::size_t> waiting;
  };
  struct Node {
    // Load of each target as last reported, plus attempts started since.
    std::vector<double> load;
    std::size_t next = 0;
  };
  struct Completion {
    std::size_t request;
    std::size_t target;
  };

  auto NodeOf(std::size_t request) -> Node& {
    return nodes_[arrivals_[request].choice % kFleetNodes];
  }

  auto ChooseTarget(Node& node) -> std::size_t {
    switch (options_.policy) {
      case BaselinePolicy::kRoundRobin:
        return node.next++ % options_.targets;
      case BaselinePolicy::kTwoChoices: {
        const auto first = random_.Below(options_.targets);
        const auto second = random_.Below(options_.targets);
        return node.load[second] < node.load[first] ? second : first;
      }
      case BaselinePolicy::kRandom:
        break;
    }
    return random_.Below(options_.targets);
  }

  auto Dispatch(std::size_t request, int attempt) -> void {
    auto& node = NodeOf(request);
    const auto index = ChooseTarget(node);
    auto& target = targets_[index];
    if (target.busy < options_.slots) {
      ++target.busy;
      completions_.Push(now_ + arrivals_[request].service, {request, index});
    } else if (target.waiting.size() < kUpstreamQueue) {
      target.waiting.push_back(request);
    } else {
      ++result_.upstream_sheds;
      node.load[index] = options_.slots + kUpstreamQueue;
      if (attempt < kMaxAttempts) {
        Dispatch(request, attempt + 1);
      } else {
        result_.AddFailure();
      }
      return;
    }
    node.load[index] += 1;
  }

  auto CompleteNext() -> void {
    now_ = completions_.NextTime();
    const auto completion = completions_.Pop();
    auto& target = targets_[completion.target];
    --target.busy;
    if (!target.waiting.empty()) {
      const auto request = target.waiting.front();
      target.waiting.pop_front();
      ++target.busy;
      completions_.Push(now_ + arrivals_[request].service,
                        {request, completion.target});
    }
    NodeOf(completion.request).load[completion.target] =
        static_cast<double>(target.busy + target.waiting.size());
    const auto& arrival = arrivals_[completion.request];
    result_.AddAnswer(arrival.work_class, arrival.at, now_,
                      arrival.at + options_.deadline);
  }

  BaselineOptions options_;
  const std::vector<Arrival>& arrivals_;
  Random random_;
  std::vector<Target> targets_;
  std::vector<Node> nodes_;
  EventQueue<Completion> completions_;
  TimePoint now_ = kSimulationStart;
  RunResult result_;
};

}  // namespace

auto RunBaselineBalancer(const BaselineOptions& options,
                         const std::vector<Arrival>& arrivals) -> RunResult {
  return BaselineSimulation(options, arrivals).Run();
}

auto RunSingleFifo(std::uint32_t slots,
                   const std::vector<Arrival>& arrivals,
                   Duration warm_up) -> RunResult {
  RunResult result;
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>
      slot_free_times;
  for (std::uint32_t i = 0; i < slots; ++i) {
    slot_free_times.push(kSimulationStart);
  }
  for (const auto& arrival : arrivals) {
    const auto end =
        std::max(arrival.at, slot_free_times.top()) + arrival.service;
    slot_free_times.pop();
    slot_free_times.push(end);
    if (arrival.at >= kSimulationStart + warm_up) {
      result.AddAnswer(arrival.work_class, arrival.at, end, TimePoint::max());
    }
  }
  return result;
}

}  // namespace flamingoyoke
