#ifndef FLAMINGOYOKE_BENCH_RUN_RESULT_H_
#define FLAMINGOYOKE_BENCH_RUN_RESULT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "core/name_table.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// What one way of dispatching made of a workload.
class RunResult {
 public:
  // Notes an answer; the caller gets it at `at`.
  auto AddAnswer(WorkClass work_class,
                 TimePoint arrived,
                 TimePoint at,
                 TimePoint deadline) -> void;
  // Notes a request that got an error.
  auto AddFailure() -> void { ++failures_; }

  // Adds the figures of another run.
  auto Merge(const RunResult& other) -> void;

  // Response time in ms that the share `quantile` of answers stays below.
  [[nodiscard]] auto ResponseMs(WorkClass work_class, double quantile) const
      -> double;
  // Share of requests that got no answer.
  [[nodiscard]] auto ShedShare() const -> double;
  // Answers that came within their deadline between two times.
  [[nodiscard]] auto TimelyAnswers(TimePoint from, TimePoint until) const
      -> std::size_t;

  // Messages between nodes and their encoded size.
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  // Messages by the index of their kind.
  std::array<std::uint64_t, std::variant_size_v<PeerMessage>> kinds{};
  // Attempts that a target shed since all its slots were in use.
  std::uint64_t upstream_sheds = 0;

 private:
  std::array<std::vector<Duration>, kEnumSize<WorkClass>> responses_;
  std::vector<TimePoint> timely_;
  std::uint64_t failures_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_RUN_RESULT_H_
