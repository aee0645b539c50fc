#ifndef FLAMINGOYOKE_DAEMON_DAEMON_H_
#define FLAMINGOYOKE_DAEMON_DAEMON_H_

#include <optional>
#include <string>

#include "node/dialect.h"

namespace flamingoyoke {

// Options in which the daemon executables of this project differ.
struct DaemonOptions {
  std::string name = "flamingoyoked";
  std::string version;
  // Environment variable with the path of the settings file; empty for none.
  std::string settings_variable;
  // Protocol of the published store, if the daemon supports one.
  std::optional<Dialect> dialect;
};

// Runs the daemon of one VM until it exits, and returns the exit code of the
// process. The first SIGTERM or SIGINT stops it gracefully. Further ones change
// nothing: supervisors repeat signals, and a repeated one must not break off
// the requests that the stop waits for. Call once per process.
auto RunDaemon(int argc, char** argv, const DaemonOptions& options) -> int;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DAEMON_DAEMON_H_
