#include "node/traffic/caller_server.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <new>
#include <utility>

#include "node/listen_error.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

constexpr std::uint16_t kAllMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

// The kernel's buffers for callers have a tenth of what may be held for them in
// the process.
constexpr std::uint64_t kCallerMemoryPerBufferMemory = 10;

// A caller that sends nothing for so long gives its connection to another one.
constexpr Duration kStallTime = std::chrono::seconds(1);

auto PortOf(evutil_socket_t descriptor) -> std::uint16_t {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) !=
      0) {
    return 0;
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

}  // namespace

CallerServer::CallerServer(EventLoop& loop, Limits limits, Handler handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      budget_(limits.body_budget_bytes),
      memory_(Part::kTraffic,
              {.bytes = limits.memory_bytes},
              handler_.other_memory),
      owner_{.check_head = handler_.check_head,
             .closes_after_reply = [this] { return closing_; },
             .on_closed = [this](CallerConnection* c) { OnClosed(c); },
             .on_reply_sent = [this](CallerConnection*) { ReportProgress(); }},
      part_(Part::kTraffic, DescriptorUse::kCallers, limits.connections),
      close_stalled_(part_, [this] { return CloseStalled(); }),
      cleanup_timer_(loop.MakeTimer([this] { closed_.clear(); })),
      accept_pause_(loop, Part::kTraffic),
      http_(evhttp_new(loop.base())) {
  if (!http_) {
    throw std::bad_alloc();
  }
  evhttp_set_allowed_methods(http_.get(), kAllMethods);
  evhttp_set_default_content_type(http_.get(), nullptr);
  evhttp_set_max_headers_size(
      http_.get(),
      static_cast<ev_ssize_t>(limits_.connection.request.head_bytes));
  evhttp_set_max_body_size(http_.get(),
                           static_cast<ev_ssize_t>(limits_.body_budget_bytes));
  evhttp_set_bevcb(
      http_.get(),
      [](event_base*, void* self) {
        return static_cast<CallerServer*>(self)->MakeConnection();
      },
      this);
  evhttp_set_gencb(
      http_.get(),
      [](evhttp_request* request, void* self) {
        static_cast<CallerServer*>(self)->OnRequest(request);
      },
      this);
}

CallerServer::~CallerServer() {
  // The owner is being destroyed too, so on_progress must not be called.
  closing_ = false;
  // Closes the connections first, as their callbacks use the other members.
  http_.reset();
}

auto CallerServer::Listen(const std::string& host, std::uint16_t port)
    -> Result<void> {
  auto* socket =
      evhttp_bind_socket_with_handle(http_.get(), host.c_str(), port);
  if (socket == nullptr) {
    const int error = EVUTIL_SOCKET_ERROR();
    return FailListen(host + ":" + std::to_string(port), error,
                      evutil_socket_error_to_string(error));
  }
  accept_pause_.Watch(evhttp_bound_socket_get_listener(socket));
  port_ = PortOf(evhttp_bound_socket_get_fd(socket));
  return {};
}

auto CallerServer::StartClosing(bool close_idle) -> void {
  closing_ = true;
  if (!close_idle || std::exchange(closes_idle_, true)) {
    return;
  }
  for (const auto& [bev, open] : connections_) {
    const auto& connection = open.connection;
    if (connection->awaiting_first_request()) {
      connection->LimitFirstRequestWait();
    } else if (!connection->busy() && !connection->receiving()) {
      connection->StartLingering();
    }
  }
}

auto CallerServer::idle() const -> bool {
  return std::none_of(
      connections_.begin(), connections_.end(), [](const auto& entry) {
        const auto& connection = *entry.second.connection;
        return connection.busy() || connection.receiving() ||
               connection.lingering() || connection.awaiting_first_request();
      });
}

auto CallerServer::all_answered() const -> bool {
  return std::none_of(connections_.begin(), connections_.end(),
                      [](const auto& entry) {
                        const auto& connection = *entry.second.connection;
                        return connection.busy() || connection.lingering();
                      });
}

auto CallerServer::MakeConnection() -> bufferevent* {
  auto* bev = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  if (bev == nullptr) {
    return nullptr;
  }
  auto connection = std::make_unique<CallerConnection>(
      loop_, bev, limits_.connection, budget_, memory_, owner_);
  auto* created = connection.get();
  const bool has_room = part_.MakeRoom();
  connections_.emplace(
      bev, OpenConnection{std::move(connection), ConnectionPart::Share(part_)});
  created->set_socket_buffers(SocketBuffersFor(
      limits_.memory_bytes / kCallerMemoryPerBufferMemory, part_.used()));
  if (!has_room) {
    memory_.CountTurnedAway(CallerLimit::kConnections);
    created->ScheduleClose();
    accept_pause_.PauseForIteration();
  } else if (closes_idle_) {
    created->LimitFirstRequestWait();
  }
  return bev;
}

auto CallerServer::OnRequest(evhttp_request* request) -> void {
  auto* bev =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  const auto found = connections_.find(bev);
  if (found == connections_.end()) {
    evhttp_send_error(request, HTTP_INTERNAL, nullptr);
    return;
  }
  handler_.on_request(found->second.connection->OnRequest(request));
}

auto CallerServer::OnClosed(CallerConnection* connection) -> void {
  const auto found = connections_.find(connection->bev());
  if (found == connections_.end()) {
    return;
  }
  closed_.push_back(std::move(found->second.connection));
  connections_.erase(found);
  cleanup_timer_.Schedule(Duration::zero());
  ReportProgress();
}

auto CallerServer::CloseStalled() -> bool {
  CallerConnection* longest = nullptr;
  TimePoint since = Now() - kStallTime;
  for (const auto& [bev, open] : connections_) {
    const auto stalled = open.connection->stalled_since();
    if (stalled && *stalled <= since) {
      longest = open.connection.get();
      since = *stalled;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  memory_.CountTurnedAway(CallerLimit::kConnections);
  longest->ScheduleClose();
  return true;
}

auto CallerServer::ReportProgress() -> void {
  if (closing_) {
    handler_.on_progress();
  }
}

}  // namespace flamingoyoke
