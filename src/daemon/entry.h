#ifndef FLAMINGOYOKE_DAEMON_ENTRY_H_
#define FLAMINGOYOKE_DAEMON_ENTRY_H_

namespace flamingoyoke {

// Type and symbol name of the one function that a daemon's library exports. Its
// arguments and its result are those of `main`.
using DaemonEntry = int (*)(int argc, char** argv);
constexpr const char* kDaemonEntryName = "flamingoyoke_run_daemon";

}  // namespace flamingoyoke

// Each daemon's library defines this function. Call once per process.
extern "C" [[gnu::visibility("default")]] auto flamingoyoke_run_daemon(
    int argc,
    char** argv) -> int;

#endif  // FLAMINGOYOKE_DAEMON_ENTRY_H_
