#include "bench/blind_choice.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>

#include "bench/event_queue.h"

namespace flamingoyoke {
namespace {

constexpr std::size_t kUpstreamQueue = 8;
constexpr int kMaxAttempts = 3;

class BlindRun {
 public:
  BlindRun(const BlindOptions& options, const std::vector<Arrival>& arrivals)
      : options_(options),
        arrivals_(arrivals),
        random_(options.seed),
        targets_(options.targets),
        nodes_(kFleetNodes,
               Node{std::vector<double>(options.targets),
                    random_.Below(options.targets)}) {}

  auto Run() -> RunResult {
    for (std::size_t next = 0; next < arrivals_.size();) {
      if (ends_.empty() || arrivals_[next].at <= ends_.NextTime()) {
        now_ = arrivals_[next].at;
        Dispatch(next, 1);
        ++next;
      } else {
        FinishOne();
      }
    }
    while (!ends_.empty()) {
      FinishOne();
    }
    return std::move(result_);
  }

 private:
  struct Target {
    std::uint32_t busy = 0;
    std::deque<std::size_t> waiting;
  };
  struct Node {
    // Work at each target as last reported, with own attempts since.
    std::vector<double> load;
    std::size_t next = 0;
  };
  struct End {
    std::size_t request;
    std::size_t target;
  };

  auto NodeOf(std::size_t request) -> Node& {
    return nodes_[arrivals_[request].choice % kFleetNodes];
  }

  auto Choose(Node& node) -> std::size_t {
    switch (options_.policy) {
      case BlindPolicy::kRoundRobin:
        return node.next++ % options_.targets;
      case BlindPolicy::kTwoChoices: {
        const auto first = random_.Below(options_.targets);
        const auto second = random_.Below(options_.targets);
        return node.load[second] < node.load[first] ? second : first;
      }
      case BlindPolicy::kRandom:
        break;
    }
    return random_.Below(options_.targets);
  }

  auto Dispatch(std::size_t request, int attempt) -> void {
    auto& node = NodeOf(request);
    const auto index = Choose(node);
    auto& target = targets_[index];
    if (target.busy < options_.slots) {
      ++target.busy;
      ends_.Push(now_ + arrivals_[request].service, {request, index});
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

  auto FinishOne() -> void {
    now_ = ends_.NextTime();
    const auto end = ends_.Pop();
    auto& target = targets_[end.target];
    --target.busy;
    if (!target.waiting.empty()) {
      const auto request = target.waiting.front();
      target.waiting.pop_front();
      ++target.busy;
      ends_.Push(now_ + arrivals_[request].service, {request, end.target});
    }
    NodeOf(end.request).load[end.target] =
        static_cast<double>(target.busy + target.waiting.size());
    const auto& arrival = arrivals_[end.request];
    result_.AddAnswer(arrival.work_class, arrival.at, now_,
                      arrival.at + options_.deadline);
  }

  BlindOptions options_;
  const std::vector<Arrival>& arrivals_;
  Random random_;
  std::vector<Target> targets_;
  std::vector<Node> nodes_;
  EventQueue<End> ends_;
  TimePoint now_ = kBenchStart;
  RunResult result_;
};

}  // namespace

auto RunBlindChoice(const BlindOptions& options,
                    const std::vector<Arrival>& arrivals) -> RunResult {
  return BlindRun(options, arrivals).Run();
}

auto RunSingleFifo(std::uint32_t slots,
                   const std::vector<Arrival>& arrivals,
                   Duration warm_up) -> RunResult {
  RunResult result;
  // Times at which each slot becomes free.
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> free;
  for (std::uint32_t i = 0; i < slots; ++i) {
    free.push(kBenchStart);
  }
  for (const auto& arrival : arrivals) {
    const auto end = std::max(arrival.at, free.top()) + arrival.service;
    free.pop();
    free.push(end);
    if (arrival.at >= kBenchStart + warm_up) {
      result.AddAnswer(arrival.work_class, arrival.at, end, TimePoint::max());
    }
  }
  return result;
}

}  // namespace flamingoyoke
