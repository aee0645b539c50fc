#ifndef FLAMINGOYOKE_DECISION_GATEWAY_LOAD_ESTIMATE_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_LOAD_ESTIMATE_H_

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "decision/gateway/run_time_average.h"

namespace flamingoyoke {

// The load that a target states in an answer.
struct StatedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  auto operator==(const StatedLoad&) const -> bool = default;
};

// A statement and when it arrived. The answer may end much later.
struct LoadNews {
  StatedLoad load;
  TimePoint at;

  auto operator==(const LoadNews&) const -> bool = default;
};

// Counters of what statements said; see docs/OPERATIONS.md.
struct LoadCounters {
  std::uint64_t news = 0;
  // Sum of the times between two statements of the same target.
  Duration age = Duration::zero();
  // Sum of the differences between the estimate and the statement.
  double error = 0;
  // Attempts at targets that had no free slot: shed, or answered by a target
  // with requests waiting.
  std::uint64_t beyond_slots = 0;
};

// Estimates how many requests of other gateways a target has, from its last
// statement. What the others had then ends at the target's own speed, and they
// go on sending as they did on average, so the estimate moves from the
// statement to that average within about one run time. Without a statement, a
// target has as many as the others of its service. The requests of this gateway
// are known and not part of it. Not thread-safe.
class LoadEstimate {
 public:
  // This gateway sends a request. `now` must not decrease.
  auto OnSent(TimePoint now) -> void;
  // A request ran for this time, waiting at the target included.
  auto OnAnswered(Duration run_time) -> void;
  // The target stated its load at `news.at`, while it had `own` requests of
  // this gateway, one of which is the answered one unless it `was_shed`. An
  // older statement than the last one is ignored. Returns how many of the
  // requests are of other gateways.
  auto OnStated(const LoadNews& news,
                std::uint32_t own,
                bool was_shed,
                double usual,
                LoadCounters& counters) -> double;

  // Returns the expected number of other gateways' requests at the target.
  // `usual` is the number that is expected of any target of the service. The
  // average that the estimate moves to is at most `max_average`.
  [[nodiscard]] auto Others(TimePoint now,
                            double usual,
                            double max_average) const -> double;
  // Returns the variance of that number: what ended and what came since the
  // statement is not known.
  [[nodiscard]] auto OthersVariance(TimePoint now, double usual) const
      -> double;
  // Returns when the last statement was made.
  [[nodiscard]] auto stated_at() const -> std::optional<TimePoint> {
    return stated_at_;
  }
  // Returns the learned time of one request; zero if nothing is known.
  [[nodiscard]] auto run_time() const -> Duration { return run_time_.value(); }
  // Returns the number of requests that this gateway sent lately.
  [[nodiscard]] auto RecentlySent(TimePoint now) const -> double;

 private:
  static constexpr double kRunTimeWeight = 0.1;

  // Returns the share of the statement that is still true.
  [[nodiscard]] auto Validity(TimePoint now) const -> double;
  [[nodiscard]] auto Average(double usual) const -> double;

  std::optional<TimePoint> stated_at_;
  double stated_others_ = 0;
  // Sum of the statements, each weighted less than the next, and the sum of the
  // weights.
  double sum_others_ = 0;
  double sum_weights_ = 0;
  RunTimeAverage run_time_{kRunTimeWeight};
  double sent_ = 0;
  std::optional<TimePoint> last_sent_;
  // Whether statements count the request that they answer; not specified.
  bool counts_answered_ = true;
};

// Returns by how many requests the load of a target is expected to exceed
// `limit`, if it is distributed normally. Thread-safe.
auto ExpectedExcess(double load, double variance, double limit) -> double;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_LOAD_ESTIMATE_H_
