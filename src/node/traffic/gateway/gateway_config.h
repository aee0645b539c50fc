#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_CONFIG_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_CONFIG_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/vm_resources.h"
#include "decision/gateway/pool_dispatcher.h"
#include "node/dialect.h"
#include "node/traffic/traffic_config.h"

namespace flamingoyoke {

// Configuration of the gateway task. `traffic` is shared with the traffic task
// that serves the operators' table.
struct GatewayConfig {
  TrafficConfig traffic;
  GatewayDialect dialect;
  FailureDomainId failure_domain;
  // Addresses for readiness checks and address lookups, in addition to the
  // address for callers.
  std::vector<NamedEndpoint> status_addresses;
  PoolLimits limits;
  // Resources of the VM for callers' requests, and the processor time of one
  // request.
  VmResources capacity;
  Duration request_processor_time = std::chrono::microseconds(1300);
  // Minimum number of retries in 10 s for each service, shared by all VMs. If
  // unset, each VM uses `limits.min_retries`.
  std::optional<std::uint32_t> retry_slack = {};
  // Answers up to this size are buffered until they are complete, so that a
  // truncated one can be retried. Larger ones are streamed.
  std::size_t max_buffered_answer_bytes = 256 << 10;
  // Time that the gateway waits beyond the deadline of an attempt. The target
  // is told the exact deadline, and its final answer takes a moment to arrive.
  Duration answer_grace = std::chrono::milliseconds(60);
  // Maximum log lines about single requests per second. Suppressed lines are
  // counted.
  std::uint32_t max_request_lines_per_second = 200;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_CONFIG_H_
