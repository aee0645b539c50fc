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

// Settings of the traffic task.
struct TrafficConfig {
  VmId vm;
  // Incarnation of this task; keys are bound to it, so a restarted task needs
  // a higher one.
  Incarnation incarnation;
  // Where callers connect. Port 0 takes a free port.
  std::string listen_host = "127.0.0.1";
  std::uint16_t listen_port = 0;
  // Seed of the task's random generators.
  std::uint64_t seed = 1;

  RequestScanner::Limits request_limits;
  std::size_t caller_connections = 10000;
  // Sum of the bodies that are being received or stored.
  std::uint64_t body_budget_bytes = 64ULL << 20;
  // Longest time from the first byte of a request to its last.
  Duration receive_timeout = std::chrono::seconds(30);
  // How long a caller's connection may stay without a request.
  Duration caller_idle_timeout = std::chrono::seconds(60);
  // How long a caller may take no byte of its answer.
  Duration caller_write_timeout = std::chrono::seconds(30);
  // Bytes of one answer that wait for the caller before the upstream's answer
  // is no longer read.
  std::size_t response_buffer_bytes = 256 << 10;

  // The kernel repeats a lost SYN after 1 s, so waiting for longer than this
  // helps little, and another target may still meet the deadline.
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration probe_timeout = std::chrono::seconds(1);
  // How long an answer that has begun may make no progress.
  Duration response_stall_timeout = std::chrono::seconds(30);

  // How long an answer may take from the request to its last byte. Its deadline
  // is for its beginning: large answers to slow callers take longer.
  Duration response_total_timeout = std::chrono::minutes(10);

  // How long callers may keep the addresses that they were told.
  Duration address_ttl = std::chrono::seconds(10);
  // How much longer a leaving vm serves callers than that.
  Duration drain_margin = std::chrono::seconds(2);
  // How long a graceful stop may take before it becomes a hard one.
  Duration shutdown_hard_limit = std::chrono::seconds(60);
  KeyLedgerLimits key_limits;
  // Spans exported per second at most, and the share of requests without a
  // sampled traceparent that start a trace.
  std::uint32_t spans_per_second = 50;
  double trace_sample_rate = 0.01;
};

// Mailboxes that the traffic task sends to.
struct TrafficOutbox {
  Mailbox<MeshMessage>& mesh;
  Mailbox<AdminMessage>& admin;
  Mailbox<TelemetryMessage>& telemetry;
  Mailbox<FleetMessage>& fleet;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_TRAFFIC_CONFIG_H_
