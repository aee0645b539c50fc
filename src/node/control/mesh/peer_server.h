#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_SERVER_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_SERVER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/name_table.h"
#include "core/time.h"
#include "decision/memory/memory_budget.h"
#include "node/control/mesh/peer_listener.h"
#include "node/control/mesh/zmtp_scanner.h"
#include "node/messages.h"
#include "runtime/descriptors.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Why the connection of a peer was closed on this side.
enum class PeerClosing {
  kProtocol,     // Its input was refused, see ZmtpFault.
  kSilence,      // No handshake or no valid message for too long.
  kMemory,       // It held memory without progress while others wanted it.
  kConnections,  // Too many connections, or descriptors were refused.
};

template <>
struct EnumNames<PeerClosing> {
  static constexpr auto kTable = std::to_array<NameEntry<PeerClosing>>({
      {PeerClosing::kProtocol, "protocol"},
      {PeerClosing::kSilence, "silence"},
      {PeerClosing::kMemory, "memory"},
      {PeerClosing::kConnections, "connections"},
  });
};
static_assert(IsDense<PeerClosing>());

// Receives the messages of all peers without keys, from which any process may
// connect: it bounds what they make this process hold. Speaks ZMTP 3.0 as a
// ROUTER socket does, but never sends a message. Not thread-safe.
class PeerServer {
 public:
  struct Limits {
    // Open connections; fewer if the process may open few descriptors.
    std::size_t connections = 128;
    std::size_t message_bytes = 1 << 20;
    // Memory for all connections. Must have room for a message beside them:
    // about 20 KB for each, and 16/15 of the message.
    std::uint64_t memory_bytes = 32ULL << 20;
  };
  // Handles a message and returns whether it was valid. Must not destroy the
  // server.
  using OnMessage = std::function<bool(std::string_view bytes)>;

  // `loop` and `listener`, which listens, must outlive the server. Throws
  // std::bad_alloc if the system refuses to watch the listener.
  PeerServer(EventLoop& loop,
             PeerListener& listener,
             const Limits& limits,
             OnMessage on_message);
  PeerServer(const PeerServer&) = delete;
  auto operator=(const PeerServer&) -> PeerServer& = delete;

  // Closes silent connections, lets connections without progress give way to
  // those that wait for memory, and accepts again after a refusal. To be called
  // each kCheckPeriod; time limits count these calls, so that a process that
  // was paused closes nobody for that.
  auto Check() -> void;
  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(250);

  auto AppendTo(std::vector<MetricSample>& samples) const -> void;

 private:
  struct Connection {
    OwnedDescriptor socket;
    ZmtpScanner scanner;
    EventLoop::Handle watch;
    // Whether it waits for its turn or for memory.
    bool is_queued = false;
    // Input that was read but not scanned, at most kReadBytes.
    std::string leftover;
    // Size of the message that is being received, if it is in the budget or
    // waits for it.
    std::size_t message_bytes = 0;
    // Bytes received since the last report of progress to the budget.
    std::size_t unreported_bytes = 0;
    bool is_ready = false;
    bool has_delivered = false;
    // Calls of Check() since the connection was accepted or delivered a valid
    // message.
    int silent_checks = 0;
  };
  // What follows an event of a connection.
  enum class Next { kContinue, kWait, kClose };

  auto AcceptAll() -> void;
  auto Add(OwnedDescriptor socket) -> void;
  // Closes a connection in exchange for a new one. Returns false if all of them
  // delivered messages lately.
  auto MakeRoom() -> bool;
  auto OnReadable(HolderId id) -> void;
  // Handles what connections have sent, up to a limit for each turn.
  auto Turn() -> void;
  // Reads once and handles what was read.
  auto Work(HolderId id, Connection& connection) -> void;
  // Handles `input` up to the limit of the turn, and keeps the rest. Returns
  // false if the connection was closed or waits for memory.
  auto Scan(HolderId id, Connection& connection, std::string_view input)
      -> bool;
  auto Read(HolderId id, Connection& connection) -> void;
  // Lets the connection wait for further input.
  static auto AwaitInput(Connection& connection) -> void;
  auto Handle(HolderId id, Connection& connection, const ZmtpGreeted& event)
      -> Next;
  auto Handle(HolderId id, Connection& connection, const ZmtpHandshaken& event)
      -> Next;
  auto Handle(HolderId id,
              Connection& connection,
              const ZmtpMessageBegun& event) -> Next;
  auto Handle(HolderId id, Connection& connection, const ZmtpMessage& event)
      -> Next;
  auto Handle(HolderId id, Connection& connection, const ZmtpPing& event)
      -> Next;
  auto Handle(HolderId id, Connection& connection, const ZmtpRefused& event)
      -> Next;
  // Returns false if the connection failed or has sent nothing of `bytes`
  // though it must.
  static auto Send(const Connection& connection, std::string_view bytes)
      -> bool;
  // Lets connections that wait for memory go on, as far as there is room.
  auto GrantWaiting() -> void;
  auto ReportProgress(HolderId id, Connection& connection, std::size_t bytes)
      -> void;
  // Passes `event` to the budget and closes who must give way.
  auto Post(const MemoryEvent& event) -> void;
  auto Close(HolderId id, PeerClosing reason) -> void;
  auto Count(PeerClosing reason) -> void;
  auto Erase(HolderId id) -> void;

  EventLoop& loop_;
  PeerListener& listener_;
  const Limits limits_;
  const OnMessage on_message_;
  MemoryBudget budget_;
  std::uint64_t last_id_ = 0;
  std::map<HolderId, Connection> connections_;
  // Connections that may have input, and those that wait for memory, in the
  // order of their turns. Closed ones may be among them.
  std::deque<HolderId> ready_;
  std::deque<HolderId> waiting_;
  // What is left of the limits of this turn.
  int messages_left_ = 0;
  std::size_t bytes_left_ = 0;
  std::array<char, 4096> buffer_{};
  std::array<std::uint64_t, kEnumSize<PeerClosing>> closed_{};
  TimePoint next_log_;
  EventLoop::Handle accept_watch_;
  EventLoop::Handle turn_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_SERVER_H_
