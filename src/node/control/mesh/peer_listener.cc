#include "node/control/mesh/peer_listener.h"

#include <event2/util.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <system_error>

#include "node/listen_error.h"
#include "node/log.h"

namespace flamingoyoke {
namespace {

// The default of libzmq.
constexpr int kBacklog = 100;
// The free descriptors are left to the store, the log and operators.
constexpr std::size_t kPauseBelow = 4;
// Hysteresis keeps the listener from switching with every connection.
constexpr std::size_t kResumeFrom = 12;

auto FailWithErrno(const std::string& address) -> boost::leaf::error_id {
  const int error = errno;
  return FailListen(address, error, std::system_category().message(error));
}

}  // namespace

auto PeerListener::Listen(const std::string& address) -> Result<void> {
  sockaddr_storage parsed{};
  int size = sizeof(parsed);
  auto* target = reinterpret_cast<sockaddr*>(&parsed);
  if (evutil_parse_sockaddr_port(address.c_str(), target, &size) != 0) {
    errno = EINVAL;
    return FailWithErrno(address);
  }
  socket_ = OwnedDescriptor(
      socket(target->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  constexpr int kOn = 1;
  if (!socket_.is_open() ||
      setsockopt(socket_.number(), SOL_SOCKET, SO_REUSEADDR, &kOn,
                 sizeof(kOn)) != 0 ||
      bind(socket_.number(), target, static_cast<socklen_t>(size)) != 0 ||
      listen(socket_.number(), kBacklog) != 0) {
    return FailWithErrno(address);
  }
  spare_ = OwnedDescriptor(fcntl(socket_.number(), F_DUPFD_CLOEXEC, 0));
  return {};
}

auto PeerListener::Duplicate() -> Result<int> {
  const int copy = fcntl(socket_.number(), F_DUPFD_CLOEXEC, 0);
  if (copy < 0) {
    return FailWithErrno("a copy of the listening socket");
  }
  return copy;
}

auto PeerListener::Accept() -> OwnedDescriptor {
  return OwnedDescriptor(accept4(socket_.number(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
}

auto PeerListener::Check() -> void {
  const auto free = CountFreeDescriptors(kResumeFrom);
  if (!is_paused_ && free < kPauseBelow) {
    Pause();
  } else if (is_paused_ && free >= kResumeFrom) {
    Resume();
  }
  if (is_paused_) {
    CloseWaiting();
  }
}

auto PeerListener::Pause() -> void {
  // The kernel drops what arrives for the listening socket. A peer's connect()
  // tries again for as long as the peer waits, and no packet of a connection
  // that was accepted is dropped.
  sock_filter drop = {BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program = {1, &drop};
  if (setsockopt(socket_.number(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                 sizeof(program)) != 0) {
    return;
  }
  is_paused_ = true;
  Log(Part::kMesh, LogLevel::kWarning,
      "accepts no connections of peers: fewer than " +
          std::to_string(kPauseBelow) + " descriptors are free");
}

auto PeerListener::Resume() -> void {
  constexpr int kUnused = 0;
  if (setsockopt(socket_.number(), SOL_SOCKET, SO_DETACH_FILTER, &kUnused,
                 sizeof(kUnused)) != 0) {
    return;
  }
  is_paused_ = false;
  Log(Part::kMesh, LogLevel::kInfo, "accepts connections of peers again");
}

auto PeerListener::CloseWaiting() -> void {
  pollfd waiting = {socket_.number(), POLLIN, 0};
  if (poll(&waiting, 1, 0) == 1) {
    spare_.Reset();
    int connection = 0;
    while (connection >= 0) {
      connection = accept4(socket_.number(), nullptr, nullptr, SOCK_CLOEXEC);
      if (connection >= 0) {
        close(connection);
      }
    }
  }
  if (!spare_.is_open()) {
    spare_ = OwnedDescriptor(fcntl(socket_.number(), F_DUPFD_CLOEXEC, 0));
  }
}

}  // namespace flamingoyoke
