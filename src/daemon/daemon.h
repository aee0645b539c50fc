#ifndef FLAMINGOYOKE_DAEMON_DAEMON_H_
#define FLAMINGOYOKE_DAEMON_DAEMON_H_

#include <optional>
#include <string>

#include "node/dialect.h"

namespace flamingoyoke {

// What distinguishes the daemons of this project.
struct DaemonOptions {
  std::string name = "flamingoyoked";
  std::string version;
  // Environment variable that names the settings file; empty if there is none.
  std::string settings_variable;
  // How a published store is spoken to, if the daemon knows one.
  std::optional<Dialect> dialect;
};

// Runs the daemon of one vm until it ends, and returns the exit code of the
// process. The first SIGTERM stops it gracefully, the second one at once.
// Call once per process.
auto RunDaemon(int argc, char** argv, const DaemonOptions& options) -> int;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DAEMON_DAEMON_H_
