#ifndef FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_CONFIG_H_
#define FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_CONFIG_H_

#include <string>

namespace flamingoyoke {

// Configuration of the span export.
struct TelemetryConfig {
  // Name of the VM, exported as resource attribute `host.name`.
  std::string vm;
  // File to append OTLP JSON to, one request per line. Empty disables the
  // export.
  std::string trace_file;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_TELEMETRY_TELEMETRY_CONFIG_H_
