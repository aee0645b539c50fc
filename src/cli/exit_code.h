#ifndef FLAMINGOYOKE_CLI_EXIT_CODE_H_
#define FLAMINGOYOKE_CLI_EXIT_CODE_H_

namespace flamingoyoke {

// Exit codes of the command; docs/operations/commands.md lists them.
enum class ExitCode {
  kOk = 0,
  kFault = 1,         // The table, the settings or the request has a fault.
  kUsage = 2,         // The command line or a file name is wrong.
  kNotReachable = 3,  // The vm did not answer.
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_EXIT_CODE_H_
