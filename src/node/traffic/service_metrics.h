#ifndef FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_METRICS_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_METRICS_H_

#include <memory>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "node/messages.h"

namespace flamingoyoke {

// Histograms of one service. Not thread-safe.
class ServiceMetrics {
 public:
  explicit ServiceMetrics(ServiceId service);
  ~ServiceMetrics();
  ServiceMetrics(ServiceMetrics&&) noexcept;
  auto operator=(ServiceMetrics&&) noexcept -> ServiceMetrics&;

  // A request was answered, with or without an error.
  auto OnRequest(Duration duration) -> void;
  // A request waited until its first attempt.
  auto OnWait(WorkClass work_class, Duration wait, TimePoint now) -> void;
  // An upstream answered or failed.
  auto OnAttempt(Duration duration) -> void;

  // Returns the waiting time that 99% of the requests of the last 10 to 20 s
  // did not exceed; zero if there were none.
  auto WaitP99(WorkClass work_class, TimePoint now) -> Duration;

  // Appends the histograms and the counters of `report`.
  auto AppendTo(std::vector<MetricSample>& samples,
                const ServiceReport& report) const -> void;

 private:
  struct State;

  ServiceId service_;
  // Keeps the heavy header of Boost.Histogram out of this one.
  std::unique_ptr<State> state_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_METRICS_H_
