#ifndef FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_COUNTERS_H_
#define FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_COUNTERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace flamingoyoke::standin {

// Request counters of an upstream stand-in.
struct UpstreamCounters {
  std::uint64_t received = 0;   // Requests for work.
  std::uint64_t executed = 0;   // Requests whose work was started.
  std::uint64_t answered = 0;   // Requests with a successful answer.
  std::uint64_t shed = 0;       // Rejected as not run.
  std::uint64_t failed = 0;     // Executed, but failed as a gray failure.
  std::uint64_t abandoned = 0;  // Caller disconnected before the work started.
  std::uint64_t probes = 0;
  std::uint64_t bytes_received = 0;
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t max_in_flight = 0;
  // Executions by idempotency key and by request id.
  std::map<std::string, std::uint64_t> by_key;
  std::map<std::string, std::uint64_t> by_id;

  // Returns the counters as a JSON object with the names above.
  [[nodiscard]] auto ToJson() const -> std::string;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_COUNTERS_H_
