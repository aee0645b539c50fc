#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CALLER_CONNECTION_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CALLER_CONNECTION_H_

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <variant>

#include "core/error_kind.h"
#include "core/time.h"
#include "node/traffic/body_budget.h"
#include "node/traffic/caller_exchange.h"
#include "node/traffic/request_scanner.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Bounds of one caller connection.
struct CallerConnectionLimits {
  RequestScanner::Limits request;
  Duration receive_timeout = std::chrono::seconds(30);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration write_timeout = std::chrono::seconds(30);
};

// Guards one caller connection beside evhttp: checks its raw bytes, bounds its
// times and notices when the caller goes away. evhttp owns the socket. Not
// thread-safe.
class CallerConnection {
 public:
  // What a connection needs from its server. All must outlive it.
  struct Owner {
    // Returns how large the body may be, or why the request is refused.
    RequestScanner::HeadCheck check_head;
    std::function<bool()> closes_after_reply;
    std::function<void(CallerConnection*)> on_closed;
    // An answer was sent whole.
    std::function<void(CallerConnection*)> on_reply_sent;
  };

  // `bev` was just made for evhttp, which has not set its callbacks yet.
  CallerConnection(EventLoop& loop,
                   bufferevent* bev,
                   const CallerConnectionLimits& limits,
                   BodyBudget& budget,
                   const Owner& owner);
  CallerConnection(const CallerConnection&) = delete;
  auto operator=(const CallerConnection&) -> CallerConnection& = delete;
  ~CallerConnection();

  // Takes a request that evhttp received whole and returns it for answering.
  auto OnRequest(evhttp_request* request) -> std::unique_ptr<CallerExchange>;

  // Whether a request waits for its answer or an answer is being sent.
  [[nodiscard]] auto busy() const -> bool { return busy_; }
  // Whether a part of a request was received.
  [[nodiscard]] auto receiving() const -> bool { return scanner_.in_request(); }
  [[nodiscard]] auto bev() const -> bufferevent* { return bev_; }
  [[nodiscard]] auto closes_after_reply() const -> bool;
  [[nodiscard]] auto pending_output_bytes() const -> std::size_t;

  // Closes the connection from the event loop, not within this call.
  auto ScheduleClose() -> void;

  // Closes the connection once what was given to it has left the process, so
  // that the caller sees where an answer was cut.
  auto CloseAfterFlush() -> void;

  // Used by CallerExchange when it no longer needs the connection.
  auto OnExchangeDetached() -> void { exchange_ = nullptr; }

 private:
  struct Callbacks {
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void* argument = nullptr;
  };

  // Learns evhttp's object for this connection.
  auto AttachEvhttp() -> void;
  auto CheckHead(const ScannedHead& head)
      -> std::variant<BodyAllowance, ErrorKind>;
  auto OnInput(evbuffer* input, const evbuffer_cb_info& info) -> void;
  auto OnViolation(ErrorKind kind) -> void;
  // Answers outside evhttp and closes.
  auto Reject(ErrorKind kind) -> void;
  auto OnRejectSent() -> void;
  // Notices the end of the connection while the answer is not ready.
  auto WatchForDisconnect() -> void;
  // Lets evhttp free the connection as if the caller had closed it.
  auto Close() -> void;
  auto OnClosed() -> void;
  auto OnReplySent() -> void;
  auto OnTimer() -> void;

  EventLoop& loop_;
  bufferevent* bev_;
  const CallerConnectionLimits& limits_;
  BodyBudget& budget_;
  const Owner& owner_;
  RequestScanner scanner_;
  // Shares of requests that evhttp has not handed over, oldest first.
  std::deque<BodyBudget::Reservation> reservations_;
  Callbacks evhttp_callbacks_;
  evhttp_connection* connection_ = nullptr;
  CallerExchange* exchange_ = nullptr;
  std::uint64_t delivered_requests_ = 0;
  bool busy_ = false;
  bool rejecting_ = false;
  EventLoop::Handle timer_;
  std::unique_ptr<event, EventLoop::EventDeleter> attach_event_;
  std::unique_ptr<event, EventLoop::EventDeleter> close_event_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_CONNECTION_H_
