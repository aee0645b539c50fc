// flamingoyoked: the daemon of one VM, for fleets with an operators' table.

#include "daemon/entry.h"

#include "daemon/daemon.h"

auto flamingoyoke_run_daemon(int argc, char** argv) -> int {
  flamingoyoke::DaemonOptions options;
  options.version = FLAMINGOYOKE_VERSION;
  return flamingoyoke::RunDaemon(argc, argv, options);
}
