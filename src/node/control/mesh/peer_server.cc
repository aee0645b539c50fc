#include "node/control/mesh/peer_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <new>
#include <utility>

#include "node/log.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

// Peers answer a greeting within milliseconds; this covers lost packets and a
// VM short of processor time. The same time as in libzmq.
constexpr int kMaxHandshakeChecks = 12;
// Peers send a heartbeat each second at least. One that doesn't is declared
// dead after 5 s; this is three times as long.
constexpr int kMaxSilentChecks = 60;
// A connection that delivered a message within this time is not closed for a
// new one.
constexpr int kRecentChecks = 8;

// Messages of up to this size are not counted in the budget, but in what each
// connection may take. Heartbeats are smaller.
constexpr std::size_t kSmallBytes = 8192;
// Messages of up to this size may use the reserve of the budget.
constexpr std::size_t kReserveBytes = 16 << 10;
// A connection with a small message, input that was not scanned, and overhead.
constexpr std::uint64_t kConnectionBytes = 20'000;
// A large message that receives less within the patience of the budget is
// without progress.
constexpr std::size_t kProgressBytes = 16 << 10;

// Limits of a turn, so that sending is not starved. The fleet task on the same
// loop handles as many messages in its turn; more would overflow its mailbox.
constexpr int kMaxTurnMessages = 64;
constexpr std::size_t kMaxTurnBytes = 256 << 10;
constexpr int kMaxAccepts = 16;

// A low limit of descriptors is divided, so that strangers cannot use it up.
constexpr std::uint64_t kDescriptorsDivisor = 8;
constexpr std::uint64_t kMinConnections = 16;

constexpr Duration kLogPeriod = std::chrono::seconds(10);

auto ConnectionLimit(std::size_t most) -> std::size_t {
  const auto descriptors = ReadDescriptorLimit();
  if (!descriptors) {
    return most;
  }
  return std::min<std::uint64_t>(
      most, std::max(kMinConnections, *descriptors / kDescriptorsDivisor));
}

// Whether accept() failed for this connection alone or since none waits.
auto IsPassing(int error) -> bool {
  return error == EAGAIN || error == EINTR || error == ECONNABORTED ||
         error == EPROTO;
}

}  // namespace

PeerServer::PeerServer(EventLoop& loop,
                       PeerListener& listener,
                       const Limits& limits,
                       OnMessage on_message)
    : loop_(loop),
      listener_(listener),
      limits_(limits),
      on_message_(std::move(on_message)),
      budget_({.bytes = limits.memory_bytes -
                        std::min<std::uint64_t>(
                            limits.memory_bytes,
                            limits.connections * kConnectionBytes),
               .small_bytes = kReserveBytes}),
      accept_watch_(
          loop.WatchReadable(listener.descriptor(), [this] { AcceptAll(); })),
      turn_timer_(loop.MakeTimer([this] { Turn(); })) {}

auto PeerServer::Check() -> void {
  if (!accept_watch_.IsPending()) {
    accept_watch_.Resume();
  }
  std::vector<HolderId> silent;
  for (auto& [id, connection] : connections_) {
    const auto limit =
        connection.is_ready ? kMaxSilentChecks : kMaxHandshakeChecks;
    if (++connection.silent_checks > limit) {
      silent.push_back(id);
    }
  }
  for (const auto id : silent) {
    Close(id, PeerClosing::kSilence);
  }
  const auto first =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&](HolderId id) { return connections_.contains(id); });
  if (first != waiting_.end()) {
    Post(MemoryWanted{connections_.at(*first).message_bytes});
  }
  GrantWaiting();
}

auto PeerServer::AppendTo(std::vector<MetricSample>& samples) const -> void {
  samples.push_back({.name = "flamingoyoke_mesh_connections",
                     .help = "Open connections of peers without keys.",
                     .is_counter = false,
                     .value = static_cast<double>(connections_.size())});
  samples.push_back({.name = "flamingoyoke_mesh_accepted_connections_total",
                     .help = "Connections of peers without keys.",
                     .value = static_cast<double>(last_id_)});
  samples.push_back({.name = "flamingoyoke_mesh_memory_bytes",
                     .help = "Memory held for large messages of peers.",
                     .is_counter = false,
                     .value = static_cast<double>(budget_.used())});
  for (const auto& entry : EnumNames<PeerClosing>::kTable) {
    samples.push_back(
        {.name = "flamingoyoke_mesh_closed_for_" + std::string(entry.name) +
                 "_total",
         .help = "Connections of peers that were closed by a limit.",
         .value = static_cast<double>(
             closed_[static_cast<std::size_t>(entry.value)])});
  }
}

auto PeerServer::AcceptAll() -> void {
  for (int accepted = 0; accepted < kMaxAccepts; ++accepted) {
    auto socket = listener_.Accept();
    if (!socket.is_open()) {
      if (!IsPassing(errno)) {
        // The listener stays readable; Check() tries again.
        accept_watch_.Cancel();
      }
      return;
    }
    Add(std::move(socket));
  }
}

auto PeerServer::Add(OwnedDescriptor socket) -> void {
  if (connections_.size() >= ConnectionLimit(limits_.connections) &&
      !MakeRoom()) {
    Count(PeerClosing::kConnections);
    return;
  }
  const HolderId id(++last_id_);
  const auto added = connections_.try_emplace(
      id, Connection{.socket = std::move(socket),
                     .scanner = ZmtpScanner(limits_.message_bytes)});
  auto& connection = added.first->second;
  try {
    connection.watch = loop_.WatchReadable(connection.socket.number(),
                                           [this, id] { OnReadable(id); });
  } catch (const std::bad_alloc&) {
    Close(id, PeerClosing::kConnections);
    return;
  }
  if (!Send(connection, ZmtpScanner::Greeting())) {
    Erase(id);
  }
}

auto PeerServer::MakeRoom() -> bool {
  // Strangers can open many connections, but peers soon deliver messages.
  const auto stranger =
      std::find_if(connections_.begin(), connections_.end(),
                   [](const auto& each) { return !each.second.has_delivered; });
  if (stranger != connections_.end()) {
    Close(stranger->first, PeerClosing::kConnections);
    return true;
  }
  const auto silent = std::max_element(connections_.begin(), connections_.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.silent_checks <
                                                right.second.silent_checks;
                                       });
  if (silent == connections_.end() ||
      silent->second.silent_checks < kRecentChecks) {
    return false;
  }
  Close(silent->first, PeerClosing::kConnections);
  return true;
}

auto PeerServer::OnReadable(HolderId id) -> void {
  // The watch stays, since changing it takes two system calls for each message.
  if (std::exchange(connections_.at(id).is_queued, true)) {
    return;
  }
  ready_.push_back(id);
  if (!turn_timer_.IsPending()) {
    turn_timer_.Schedule(Duration::zero());
  }
}

auto PeerServer::Turn() -> void {
  messages_left_ = kMaxTurnMessages;
  bytes_left_ = kMaxTurnBytes;
  while (!ready_.empty() && messages_left_ > 0 && bytes_left_ > 0) {
    const auto id = ready_.front();
    ready_.pop_front();
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
      Work(id, found->second);
    }
  }
  GrantWaiting();
  if (!ready_.empty()) {
    turn_timer_.Schedule(Duration::zero());
  }
}

auto PeerServer::Work(HolderId id, Connection& connection) -> void {
  if (connection.leftover.empty()) {
    Read(id, connection);
    return;
  }
  const auto input = std::exchange(connection.leftover, {});
  if (Scan(id, connection, input)) {
    ready_.push_back(id);
  }
}

auto PeerServer::Read(HolderId id, Connection& connection) -> void {
  const auto received =
      recv(connection.socket.number(), buffer_.data(), buffer_.size(), 0);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
    AwaitInput(connection);
    return;
  }
  if (received <= 0) {
    Erase(id);
    return;
  }
  const auto size = static_cast<std::size_t>(received);
  bytes_left_ -= std::min(bytes_left_, size);
  ReportProgress(id, connection, size);
  if (!Scan(id, connection, {buffer_.data(), size})) {
    return;
  }
  if (size < buffer_.size() && connection.leftover.empty()) {
    AwaitInput(connection);
    return;
  }
  ready_.push_back(id);
}

auto PeerServer::AwaitInput(Connection& connection) -> void {
  connection.is_queued = false;
  if (!connection.watch.IsPending()) {
    connection.watch.Resume();
  }
}

auto PeerServer::Scan(HolderId id,
                      Connection& connection,
                      std::string_view input) -> bool {
  auto next = Next::kContinue;
  while (next == Next::kContinue && messages_left_ > 0) {
    const auto event = connection.scanner.Scan(input);
    if (!event) {
      return true;
    }
    next = std::visit(
        [&](const auto& typed) { return Handle(id, connection, typed); },
        *event);
  }
  if (next == Next::kClose) {
    Close(id, PeerClosing::kProtocol);
    return false;
  }
  connection.leftover = input;
  return next == Next::kContinue;
}

auto PeerServer::Handle(HolderId, Connection& connection, const ZmtpGreeted&)
    -> Next {
  return Send(connection, ZmtpScanner::ReadyCommand()) ? Next::kContinue
                                                       : Next::kClose;
}

auto PeerServer::Handle(HolderId, Connection& connection, const ZmtpHandshaken&)
    -> Next {
  connection.is_ready = true;
  return Next::kContinue;
}

auto PeerServer::Handle(HolderId id,
                        Connection& connection,
                        const ZmtpMessageBegun& event) -> Next {
  if (event.size <= kSmallBytes) {
    return Next::kContinue;
  }
  connection.message_bytes = event.size;
  // Its input stays in the kernel, which would report it again and again.
  connection.watch.Cancel();
  waiting_.push_back(id);
  return Next::kWait;
}

auto PeerServer::Handle(HolderId id,
                        Connection& connection,
                        const ZmtpMessage& event) -> Next {
  --messages_left_;
  if (on_message_(event.body)) {
    connection.has_delivered = true;
    connection.silent_checks = 0;
  }
  if (std::exchange(connection.message_bytes, 0) > 0) {
    Post(MemoryReleased{id});
  }
  return Next::kContinue;
}

auto PeerServer::Handle(HolderId, Connection& connection, const ZmtpPing& event)
    -> Next {
  // Counts as a message, so that a turn is bounded.
  --messages_left_;
  return Send(connection, ZmtpScanner::PongCommand(event.context)) ||
                 errno == EAGAIN
             ? Next::kContinue
             : Next::kClose;
}

auto PeerServer::Handle(HolderId, Connection&, const ZmtpRefused& event)
    -> Next {
  Log(Part::kMesh, LogLevel::kDebug,
      "refused the input of a peer: " + std::string(ToName(event.fault)));
  return Next::kClose;
}

auto PeerServer::Send(const Connection& connection, std::string_view bytes)
    -> bool {
  const auto sent = send(connection.socket.number(), bytes.data(), bytes.size(),
                         MSG_NOSIGNAL);
  if (sent >= 0 && static_cast<std::size_t>(sent) != bytes.size()) {
    // What is left would have to be kept.
    errno = ENOBUFS;
  }
  return sent >= 0 && static_cast<std::size_t>(sent) == bytes.size();
}

auto PeerServer::GrantWaiting() -> void {
  const auto was_idle = ready_.empty();
  bool is_blocked = false;
  std::deque<HolderId> still_waiting;
  for (const auto id : waiting_) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      continue;
    }
    const auto bytes = found->second.message_bytes;
    // Others must not take the room that the first one waits for, but for what
    // may use the reserve for small messages.
    if (!budget_.HasRoom(bytes) || (is_blocked && bytes > kReserveBytes)) {
      is_blocked = true;
      still_waiting.push_back(id);
      continue;
    }
    found->second.unreported_bytes = 0;
    Post(MemoryHeld{id, bytes, bytes, true});
    ready_.push_back(id);
  }
  waiting_ = std::move(still_waiting);
  if (was_idle && !ready_.empty()) {
    turn_timer_.Schedule(Duration::zero());
  }
}

auto PeerServer::ReportProgress(HolderId id,
                                Connection& connection,
                                std::size_t bytes) -> void {
  connection.unreported_bytes += bytes;
  if (connection.message_bytes > 0 &&
      connection.unreported_bytes >= kProgressBytes) {
    connection.unreported_bytes = 0;
    Post(MemoryHeld{id, connection.message_bytes, connection.message_bytes,
                    true});
  }
}

auto PeerServer::Post(const MemoryEvent& event) -> void {
  for (const auto& action : budget_.OnEvent(event, Now())) {
    Close(action.holder, PeerClosing::kMemory);
  }
}

auto PeerServer::Close(HolderId id, PeerClosing reason) -> void {
  Count(reason);
  Erase(id);
}

auto PeerServer::Count(PeerClosing reason) -> void {
  ++closed_[static_cast<std::size_t>(reason)];
  const auto now = Now();
  if (now < next_log_) {
    return;
  }
  next_log_ = now + kLogPeriod;
  std::string counts;
  for (const auto& entry : EnumNames<PeerClosing>::kTable) {
    counts += " " + std::string(entry.name) + "=" +
              std::to_string(closed_[static_cast<std::size_t>(entry.value)]);
  }
  Log(Part::kMesh, LogLevel::kWarning,
      "connections of peers closed so far by limit:" + counts);
}

auto PeerServer::Erase(HolderId id) -> void {
  budget_.OnEvent(MemoryReleased{id}, Now());
  connections_.erase(id);
}

}  // namespace flamingoyoke
