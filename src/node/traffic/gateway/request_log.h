#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_REQUEST_LOG_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_REQUEST_LOG_H_

#include <cstdint>

#include "core/ids.h"
#include "core/time.h"
#include "node/traffic/gateway/pool_runner.h"

namespace flamingoyoke {

// Logs one line for each ended request, with the reasons for its result. The
// number of lines per second is limited; suppressed lines are counted. Not
// thread-safe.
class RequestLog {
 public:
  explicit RequestLog(std::uint32_t lines_per_second);

  auto OnRequest(const ServiceId& service,
                 const PoolRunner::Record& record,
                 Revision routing,
                 Revision registry) -> void;

 private:
  const std::uint32_t lines_per_second_;
  TimePoint second_started_;
  std::uint32_t lines_ = 0;
  std::uint64_t suppressed_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_REQUEST_LOG_H_
