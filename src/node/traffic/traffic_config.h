#ifndef FLAMINGOYOKE_NODE_TRAFFIC_TRAFFIC_CONFIG_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_TRAFFIC_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "decision/idempotency/key_ledger.h"
#include "node/messages.h"
#include "node/traffic/request_scanner.h"

namespace flamingoyoke {

// Configuration of the traffic task.
struct TrafficConfig {
  VmId vm;
  // Incarnation of this task. Idempotency keys contain it, so a restarted task
  // must have a higher one.
  Incarnation incarnation;
  // Address that the server for callers listens on. Port 0 selects a free port.
  std::string listen_host = "127.0.0.1";
  std::uint16_t listen_port = 0;
  // Seed of the task's random generators.
  std::uint64_t seed = 1;

  RequestScanner::Limits request_limits;
  std::size_t caller_connections = 10000;
  // Maximum total size of the request bodies that are being received or are
  // buffered.
  std::uint64_t body_budget_bytes = 64ULL << 20;
  // Maximum memory of the answers that are being received or are buffered.
  std::uint64_t answer_memory_bytes = 64ULL << 20;
  // Maximum memory held for callers, including that of answers.
  std::uint64_t caller_memory_bytes = 160ULL << 20;
  // Maximum time for the head of a request, and without a byte of its body.
  Duration receive_timeout = std::chrono::seconds(30);
  // Maximum time that a caller connection may be idle.
  Duration caller_idle_timeout = std::chrono::seconds(60);
  // Maximum time without progress while a response is sent to the caller.
  Duration caller_write_timeout = std::chrono::seconds(30);
  // Bytes of a response that may be buffered for the caller. Above this,
  // reading from the upstream is paused.
  std::size_t response_buffer_bytes = 256 << 10;

  // The kernel retransmits a lost SYN only after 1 s. A shorter timeout leaves
  // time to try another target before the deadline.
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration probe_timeout = std::chrono::seconds(1);
  // Maximum time without progress after a response has started.
  Duration response_stall_timeout = std::chrono::seconds(30);

  // Maximum time from the request to the last byte of the response. The
  // deadline of a request limits only the start of the response, because a
  // large response to a slow caller may take longer.
  Duration response_total_timeout = std::chrono::minutes(10);

  // How long callers may cache the addresses.
  Duration address_ttl = std::chrono::seconds(10);
  // How long a stopping VM keeps serving callers after address_ttl has passed.
  Duration drain_margin = std::chrono::seconds(2);
  // Maximum duration of a graceful stop before it becomes a hard one.
  Duration shutdown_hard_limit = std::chrono::seconds(60);
  KeyLedgerLimits key_limits;
  // Maximum number of spans exported per second, and the probability that a
  // request without a valid `traceparent` starts a sampled trace.
  std::uint32_t spans_per_second = 50;
  double trace_sample_rate = 0.01;
};

// Mailboxes that the traffic task posts to.
struct TrafficOutbox {
  Mailbox<MeshMessage>& mesh;
  Mailbox<AdminMessage>& admin;
  Mailbox<TelemetryMessage>& telemetry;
  Mailbox<FleetMessage>& fleet;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_TRAFFIC_CONFIG_H_
