// Main function of the daemon programs. Loading the libraries of a daemon takes
// milliseconds, during which a signal has its default action if they are loaded
// before `main`. This program therefore links only the C library, sets the
// dispositions, and then loads the daemon's own library.

#include <dlfcn.h>

#include <csignal>
#include <cstdio>

#include "daemon/entry.h"

namespace {

// Documented in docs/operations/install.md.
constexpr int kExitNotLoaded = 1;

auto FindEntry() -> flamingoyoke::DaemonEntry {
  // The run path of this program names the folder.
  auto* const library = dlopen(FLAMINGOYOKE_DAEMON_LIBRARY, RTLD_LAZY);
  if (library == nullptr) {
    return nullptr;
  }
  return reinterpret_cast<flamingoyoke::DaemonEntry>(
      dlsym(library, flamingoyoke::kDaemonEntryName));
}

}  // namespace

auto main(int argc, char** argv) -> int {
  // The default action would end a process that is told to reload its settings
  // while it starts. SIGTERM and SIGINT keep theirs until the daemon handles
  // them, since nothing has been accepted yet.
  std::signal(SIGHUP, SIG_IGN);
  const auto entry = FindEntry();
  if (entry == nullptr) {
    std::fprintf(stderr, "cannot load the daemon: %s\n", dlerror());
    return kExitNotLoaded;
  }
  return entry(argc, argv);
}
