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

// What the gateway task needs beside the settings that it shares with the
// traffic task of the operators' table.
struct GatewayConfig {
  TrafficConfig traffic;
  GatewayDialect dialect;
  FailureDomainId failure_domain;
  // Where readiness checks and questions for addresses come in, beside the
  // address for callers.
  std::vector<NamedEndpoint> status_addresses;
  PoolLimits limits;
  // What the vm has for callers' requests, and the processor time that one
  // takes.
  VmResources capacity;
  Duration request_processor_time = std::chrono::microseconds(1300);
  // Retries in 10 s that all vms together may have in any case, for each
  // service; unset leaves those of `limits` to each vm.
  std::optional<std::uint32_t> retry_slack = {};
  // Answers up to this size are held back until they are whole, so that a cut
  // one can be replaced; larger ones are relayed as they come.
  std::size_t held_answer_bytes = 256 << 10;
  // How long an attempt may outlast its deadline: the target is given the
  // exact time, and its last word takes a moment to arrive.
  Duration last_word = std::chrono::milliseconds(60);
  // Lines about single requests per second at most; the rest is counted.
  std::uint32_t request_lines_per_second = 200;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_CONFIG_H_
