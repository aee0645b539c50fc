#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CALLER_SERVER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CALLER_SERVER_H_

#include <event2/http.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/result.h"
#include "node/accept_pause.h"
#include "node/traffic/body_budget.h"
#include "node/traffic/caller_connection.h"
#include "node/traffic/caller_exchange.h"
#include "node/traffic/caller_memory.h"
#include "node/traffic/connection_part.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// HTTP server that receives requests from callers. Not thread-safe.
class CallerServer {
 public:
  struct Limits {
    CallerConnectionLimits connection;
    std::size_t connections = 10000;
    std::uint64_t body_budget_bytes = 64ULL << 20;
    // Memory held for all callers, and for what `other_memory` returns.
    std::uint64_t memory_bytes = 128ULL << 20;
  };
  struct Handler {
    // Called with each request head before the body is received.
    RequestScanner::HeadCheck check_head;
    // Called with each request that was received completely.
    std::function<void(std::unique_ptr<CallerExchange>)> on_request;
    // Called after StartClosing() when a response was sent or a connection was
    // closed.
    std::function<void()> on_progress;
    // Returns the memory of answers, which the limit includes. May be empty.
    std::function<OtherMemoryHeld()> other_memory = {};
  };

  // `loop` must outlive the server. The server must outlive all exchanges.
  CallerServer(EventLoop& loop, Limits limits, Handler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  auto operator=(const CallerServer&) -> CallerServer& = delete;

  // Listens on `host`:`port`; port 0 selects a free port. Fails with
  // kAddressInUse or kSocketFailed.
  auto Listen(const std::string& host, std::uint16_t port) -> Result<void>;

  // The port that the server listens on.
  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

  // Closes each connection after its next response. If `close_idle` is set,
  // connections without a pending request are closed: at once if they had one
  // before, else soon unless their first request arrives.
  auto StartClosing(bool close_idle) -> void;

  // Whether no request is being received or about to be, no response is
  // pending, and callers have received all responses.
  [[nodiscard]] auto idle() const -> bool;
  // Whether no response is pending or being sent, and callers have received the
  // last response of each connection that was closed.
  [[nodiscard]] auto all_answered() const -> bool;

  [[nodiscard]] auto connections() const -> std::size_t {
    return connections_.size();
  }
  // Limits the connections; its limit may be changed.
  [[nodiscard]] auto part() -> ConnectionPart& { return part_; }
  [[nodiscard]] auto memory() const -> const CallerMemory& { return memory_; }
  [[nodiscard]] auto body_bytes() const -> std::uint64_t {
    return budget_.used();
  }

 private:
  struct OpenConnection {
    std::unique_ptr<CallerConnection> connection;
    ConnectionPart::Share share;
  };
  struct EvhttpDeleter {
    auto operator()(evhttp* http) const -> void { evhttp_free(http); }
  };

  auto MakeConnection() -> bufferevent*;
  auto OnRequest(evhttp_request* request) -> void;
  auto OnClosed(CallerConnection* connection) -> void;
  auto ReportProgress() -> void;
  // Closes the connection that has stalled for longest. Returns false if none
  // has for a second.
  auto CloseStalled() -> bool;

  EventLoop& loop_;
  const Limits limits_;
  const Handler handler_;
  BodyBudget budget_;
  CallerMemory memory_;
  CallerConnection::Owner owner_;
  ConnectionPart part_;
  ConnectionPart::Registration close_stalled_;
  bool closing_ = false;
  bool closes_idle_ = false;
  std::uint16_t port_ = 0;
  std::unordered_map<bufferevent*, OpenConnection> connections_;
  // Closed connections whose callbacks may still be running.
  std::vector<std::unique_ptr<CallerConnection>> closed_;
  EventLoop::Handle cleanup_timer_;
  AcceptPause accept_pause_;
  std::unique_ptr<evhttp, EvhttpDeleter> http_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_SERVER_H_
