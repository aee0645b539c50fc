// flamingoyoked: the daemon of one VM, for fleets with an operators' table.

#include "daemon/daemon.h"

auto main(int argc, char** argv) -> int {
  flamingoyoke::DaemonOptions options;
  options.version = FLAMINGOYOKE_VERSION;
  return flamingoyoke::RunDaemon(argc, argv, options);
}
