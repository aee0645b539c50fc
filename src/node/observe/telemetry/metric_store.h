#ifndef FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_METRIC_STORE_H_
#define FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_METRIC_STORE_H_

#include <map>
#include <string>
#include <vector>

#include "node/messages.h"

namespace flamingoyoke {

// Stores the latest samples of each task and renders them as one document. Not
// thread-safe.
class MetricStore {
 public:
  // Replaces all samples of the reporting task.
  auto Replace(MetricsReported report) -> void;

  // Returns all samples in the Prometheus text format, with one help and type
  // line for each metric.
  [[nodiscard]] auto Render() const -> std::string;

 private:
  std::map<std::string, std::vector<MetricSample>> samples_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_METRIC_STORE_H_
