#ifndef FLAMINGOYOKE_CLI_EXIT_CODE_H_
#define FLAMINGOYOKE_CLI_EXIT_CODE_H_

namespace flamingoyoke {

// Exit codes of the program; see docs/operations/commands.md.
enum class ExitCode {
  kOk = 0,
  kFault = 1,         // The table, the settings or the request is invalid.
  kUsage = 2,         // The command line or a file name is wrong.
  kNotReachable = 3,  // The VM did not respond.
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_EXIT_CODE_H_
