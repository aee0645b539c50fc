#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CALLER_CONNECTION_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CALLER_CONNECTION_H_

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include "core/error_kind.h"
#include "core/time.h"
#include "decision/memory/socket_buffers.h"
#include "node/traffic/body_budget.h"
#include "node/traffic/caller_exchange.h"
#include "node/traffic/caller_input.h"
#include "node/traffic/caller_memory.h"
#include "node/traffic/request_scanner.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Size limits and timeouts of one caller connection.
struct CallerConnectionLimits {
  RequestScanner::Limits request;
  // Time for the head of a request, and without a byte of its body.
  Duration receive_timeout = std::chrono::seconds(30);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration write_timeout = std::chrono::seconds(30);
};

// Supervises one caller connection that evhttp serves: receives and validates
// the requests, of which evhttp gets only the heads, enforces timeouts and the
// memory budget, and detects when the caller disconnects. evhttp owns the
// socket. Not thread-safe.
class CallerConnection {
 public:
  // Callbacks into the server. They must outlive the connection.
  struct Owner {
    // Returns the maximum body size, or the error to refuse the request with.
    RequestScanner::HeadCheck check_head;
    std::function<bool()> closes_after_reply;
    std::function<void(CallerConnection*)> on_closed;
    // Called after a complete response was sent.
    std::function<void(CallerConnection*)> on_reply_sent;
  };

  // `bev` must be new: evhttp must not have set its callbacks yet.
  CallerConnection(EventLoop& loop,
                   bufferevent* bev,
                   const CallerConnectionLimits& limits,
                   BodyBudget& budget,
                   CallerMemory& memory,
                   const Owner& owner);
  CallerConnection(const CallerConnection&) = delete;
  auto operator=(const CallerConnection&) -> CallerConnection& = delete;
  ~CallerConnection();

  // Called for each request that evhttp received completely. Returns the
  // exchange to respond through.
  auto OnRequest(evhttp_request* request) -> std::unique_ptr<CallerExchange>;

  // Whether a response is pending or being sent.
  [[nodiscard]] auto busy() const -> bool { return busy_; }
  // Whether the last response was written and the connection is only kept
  // until the caller has received it.
  [[nodiscard]] auto lingering() const -> bool { return lingering_; }
  // Whether the caller has connected but sent nothing yet. Its request may be
  // on the way, so closing the connection would cut the request off.
  [[nodiscard]] auto awaiting_first_request() const -> bool {
    return !busy_ && !receiving() && !rejecting_ && !lingering_ &&
           delivered_requests_ == 0;
  }
  // Whether a request was received in part.
  [[nodiscard]] auto receiving() const -> bool { return input_.receiving(); }
  // Since when the caller has kept the connection without a complete request or
  // progress; nothing while it waits for an answer or between requests.
  [[nodiscard]] auto stalled_since() const -> std::optional<TimePoint>;
  [[nodiscard]] auto bev() const -> bufferevent* { return bev_; }
  [[nodiscard]] auto closes_after_reply() const -> bool;
  [[nodiscard]] auto pending_output_bytes() const -> std::size_t;

  // Sets the kernel's buffers for the connection. Call before the first event
  // of the connection.
  auto set_socket_buffers(const SocketBuffers& buffers) -> void {
    socket_buffers_ = buffers;
  }

  // Closes the connection unless its first request begins soon. Precondition:
  // awaiting_first_request().
  auto LimitFirstRequestWait() -> void;

  // Closes the connection in a later event, not within this call.
  auto ScheduleClose() -> void;

  // Closes the connection after the buffered output was sent, so that the
  // caller receives every byte of a truncated response.
  auto CloseAfterFlush() -> void;

  // Lingering close: sends the end of the stream, discards what the caller
  // still sends, and closes once the caller has closed or has had time to read
  // all responses. An immediate close with unread input would reset the
  // connection and discard responses that the caller has not received yet. No
  // effect if the connection lingers already. Precondition: the output buffer
  // is empty.
  auto StartLingering() -> void;

  // Called by CallerExchange when it no longer uses the connection.
  auto OnExchangeDetached() -> void { exchange_ = nullptr; }

 private:
  struct Callbacks {
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void* argument = nullptr;
  };

  // Saves evhttp's callbacks and its connection object.
  auto AttachEvhttp() -> void;
  auto CheckHead(const ScannedHead& head)
      -> std::variant<BodyAllowance, ErrorKind>;
  auto ReserveChunk(std::uint64_t bytes) -> std::optional<ErrorKind>;
  // Whether a body and the memory of its request may grow so much.
  auto CanHold(std::uint64_t body_bytes, std::uint64_t request_bytes) -> bool;
  auto OnInput(evbuffer* input, const evbuffer_cb_info& info) -> void;
  auto OnOutput(const evbuffer_cb_info& info) -> void;
  // Reads the next request unless one is pending, and passes its head to evhttp
  // if it is complete.
  auto ReadRequest() -> void;
  // Counts what the connection holds.
  auto UpdateMemory(bool has_progressed) -> void;
  // Frees memory for other callers.
  auto GiveWay() -> void;
  // Sends an error response without evhttp and closes.
  auto Reject(ErrorKind kind) -> void;
  // Frees what is held for the request that is being received.
  auto DropRequest() -> void;
  // Drops the received input and counts it towards the limit of a lingering
  // close.
  auto DiscardInput() -> void;
  auto OnLingerTimer() -> void;
  // Detects that the caller disconnects while the response is pending.
  auto WatchForDisconnect() -> void;
  // Makes evhttp free the connection by reporting EOF to it.
  auto Close() -> void;
  auto OnClosed() -> void;
  auto OnReplySent(evhttp_request* request) -> void;
  auto OnTimer() -> void;

  bufferevent* bev_;
  const CallerConnectionLimits& limits_;
  BodyBudget& budget_;
  const Owner& owner_;
  SocketBuffers socket_buffers_;
  CallerMemory& memory_;
  CallerMemory::Share share_;
  CallerInput input_;
  // Body of the request that is being received, and the memory that the request
  // will take.
  BodyBudget::Reservation reservation_;
  std::uint64_t request_bytes_ = 0;
  // Input since the last progress: single bytes are none.
  std::uint64_t bytes_since_progress_ = 0;
  TimePoint last_progress_;
  TimePoint last_input_;
  Callbacks evhttp_callbacks_;
  evhttp_connection* connection_ = nullptr;
  CallerExchange* exchange_ = nullptr;
  std::uint64_t delivered_requests_ = 0;
  // Whether a request was passed to evhttp and its response was not sent yet.
  bool busy_ = false;
  // Whether the input changes since a head is passed to evhttp.
  bool is_feeding_ = false;
  // Whether a request is being read, so that its memory must stay.
  bool is_reading_ = false;
  bool must_give_way_ = false;
  // Whether the timer reads what was received during the last request.
  bool reads_later_ = false;
  bool is_closing_ = false;
  bool rejecting_ = false;
  bool lingering_ = false;
  TimePoint linger_started_;
  // Input that was dropped since the connection began to close.
  std::uint64_t discarded_bytes_ = 0;
  // Whether the caller had acknowledged all output at the last check.
  bool was_acknowledged_ = false;
  EventLoop::Handle timer_;
  std::unique_ptr<event, EventLoop::EventDeleter> attach_event_;
  std::unique_ptr<event, EventLoop::EventDeleter> close_event_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_CONNECTION_H_
