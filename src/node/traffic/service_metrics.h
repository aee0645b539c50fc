#ifndef FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_METRICS_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_METRICS_H_

#include <memory>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "node/messages.h"

namespace flamingoyoke {

// Duration histograms of one service. Not thread-safe.
class ServiceMetrics {
 public:
  explicit ServiceMetrics(ServiceId service);
  ~ServiceMetrics();
  ServiceMetrics(ServiceMetrics&&) noexcept;
  auto operator=(ServiceMetrics&&) noexcept -> ServiceMetrics&;

  // Records the duration of a request, whatever its outcome.
  auto OnRequest(Duration duration) -> void;
  // Records how long a request waited for its first attempt.
  auto OnWait(WorkClass work_class, Duration wait, TimePoint now) -> void;
  // Records the duration of an attempt, whatever its result.
  auto OnAttempt(Duration duration) -> void;

  // Returns the 99th percentile of the waiting times of the last 10 to 20 s;
  // zero without requests.
  auto WaitP99(WorkClass work_class, TimePoint now) -> Duration;

  // Appends the histograms and the counters and gauges of `report`.
  auto AppendTo(std::vector<MetricSample>& samples,
                const ServiceReport& report) const -> void;

 private:
  struct State;

  ServiceId service_;
  // Hides Boost.Histogram, whose headers are slow to compile.
  std::unique_ptr<State> state_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_METRICS_H_
