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

// Response times, failures and message counts of one simulation run.
class RunResult {
 public:
  // Records an answer that the caller receives at `at`.
  auto AddAnswer(WorkClass work_class,
                 TimePoint arrived,
                 TimePoint at,
                 TimePoint deadline) -> void;
  // Records a request that failed.
  auto AddFailure() -> void { ++failures_; }

  // Adds the results of another run.
  auto Merge(const RunResult& other) -> void;

  // Returns a quantile (0 to 1) of the response time in milliseconds.
  [[nodiscard]] auto ResponseMs(WorkClass work_class, double quantile) const
      -> double;
  // Returns the share of requests that failed.
  [[nodiscard]] auto ShedShare() const -> double;
  // Returns the number of answers in [from, until) that met their deadline.
  [[nodiscard]] auto TimelyAnswers(TimePoint from, TimePoint until) const
      -> std::size_t;

  // Number of messages between nodes and their encoded size.
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  // Number of messages by the index of their kind in PeerMessage.
  std::array<std::uint64_t, std::variant_size_v<PeerMessage>>
      messages_by_kind{};
  // Attempts shed by a target because all its slots were in use.
  std::uint64_t upstream_sheds = 0;

 private:
  std::array<std::vector<Duration>, kEnumSize<WorkClass>> responses_;
  std::vector<TimePoint> timely_answers_;
  std::uint64_t failures_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_RUN_RESULT_H_
