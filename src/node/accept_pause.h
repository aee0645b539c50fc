#ifndef FLAMINGOYOKE_NODE_ACCEPT_PAUSE_H_
#define FLAMINGOYOKE_NODE_ACCEPT_PAUSE_H_

#include <event2/listener.h>

#include <vector>

#include "node/log.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Pauses listeners after a failed accept(), for example while the process is
// out of descriptors. The connection stays in the backlog and keeps the
// listening socket readable, so the event loop would never wait. Not
// thread-safe: all calls must come from the thread that runs `loop`.
class AcceptPause {
 public:
  // `part` is the component that logs failures. `loop` must outlive the object.
  AcceptPause(EventLoop& loop, Part part);
  ~AcceptPause();
  AcceptPause(const AcceptPause&) = delete;
  auto operator=(const AcceptPause&) -> AcceptPause& = delete;

  // Sets the error callback of `listener`. Precondition: the loop does not run
  // between the end of `listener` and the end of this object.
  auto Watch(evconnlistener* listener) -> void;

  // Stops all watched listeners until the next iteration of the loop. Called by
  // the callback of an accepted connection, it ends the burst of accepts, so
  // that the connection can be closed before the next one takes a descriptor.
  auto PauseForIteration() -> void;

 private:
  auto Pause(evconnlistener* listener, int error_number) -> void;
  auto Resume() -> void;

  EventLoop& loop_;
  const Part part_;
  std::vector<evconnlistener*> listeners_;
  EventLoop::Handle resume_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_ACCEPT_PAUSE_H_
