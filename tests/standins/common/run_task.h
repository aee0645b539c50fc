#ifndef FLAMINGOYOKE_TESTS_STANDINS_COMMON_RUN_TASK_H_
#define FLAMINGOYOKE_TESTS_STANDINS_COMMON_RUN_TASK_H_

#include <unistd.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/error_kind.h"
#include "core/name_table.h"
#include "runtime/mailbox.h"
#include "runtime/task_host.h"

namespace flamingoyoke::standin {

// Message type of stand-ins. They receive no messages: tests control them over
// HTTP.
struct NoMessage {};
using StandinMessage = std::variant<NoMessage>;

// Runs one task until it exits or the process receives SIGTERM or SIGINT, and
// returns the exit code of the process. Call it from main before any thread is
// started.
template <Task T>
auto RunTask(std::string name, typename TaskHost<T>::Factory factory) -> int {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Mailbox<typename T::Message> mailbox(1);
  std::optional<Error> failure;
  TaskHost<T> host(std::move(name), mailbox, std::move(factory));
  host.Start([&](std::optional<Error> error) {
    failure = std::move(error);
    kill(getpid(), SIGTERM);  // Ends the sigwait below.
  });
  int signal = 0;
  sigwait(&signals, &signal);
  host.RequestStop(StopMode::kHard);
  host.Join();
  if (failure) {
    std::cerr << host.name() << ": " << ToName(failure->kind) << ": "
              << failure->detail << "\n";
    return 1;
  }
  return 0;
}

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_COMMON_RUN_TASK_H_
