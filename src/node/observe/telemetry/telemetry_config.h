#ifndef FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_CONFIG_H_
#define FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_CONFIG_H_

#include <string>

namespace flamingoyoke {

// Where spans go.
struct TelemetryConfig {
  // Name of the vm, a resource attribute of each span.
  std::string vm;
  // File that OTLP JSON is appended to, one request a line; empty for none.
  std::string trace_file;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_CONFIG_H_
