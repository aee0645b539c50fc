#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_LISTENER_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_LISTENER_H_

#include <string>

#include "core/result.h"
#include "runtime/descriptors.h"

namespace flamingoyoke {

// The listening socket for peers. With keys, libzmq accepts the connections,
// and calls accept() without a pause while it is refused a descriptor. Check()
// keeps connections away from the socket for as long as descriptors are
// scarce; connections that were accepted stay. Not thread-safe, but libzmq may
// use its descriptor on another thread.
class PeerListener {
 public:
  // Listens on `address`, an "ip:port". Fails with kAddressInUse,
  // kResourceRefused or kSocketFailed. Call once.
  auto Listen(const std::string& address) -> Result<void>;

  // Returns a descriptor of the listening socket for libzmq, which closes it.
  // Fails with kResourceRefused. Precondition: Listen() has succeeded.
  auto Duplicate() -> Result<int>;

  // Returns the next connection that waits, which doesn't block. If there is
  // none or the system refuses it, the descriptor is not open and errno says
  // why. Precondition: Listen() has succeeded.
  auto Accept() -> OwnedDescriptor;

  // Pauses or resumes the listener by the number of free descriptors; to be
  // called periodically. A system that refuses the filter leaves the listener
  // as it is. Precondition: Listen() has succeeded.
  auto Check() -> void;

  // The listening socket, to wait for connections.
  [[nodiscard]] auto descriptor() const -> int { return socket_.number(); }

  // Whether new connections are kept away.
  [[nodiscard]] auto is_paused() const -> bool { return is_paused_; }

 private:
  auto Pause() -> void;
  auto Resume() -> void;
  // Closes the connections that could not be accepted.
  auto CloseWaiting() -> void;

  OwnedDescriptor socket_;
  // Released to accept a connection that is then closed.
  OwnedDescriptor spare_;
  bool is_paused_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_LISTENER_H_
