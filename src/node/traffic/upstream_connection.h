#ifndef FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_CONNECTION_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_CONNECTION_H_

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/gateway/load_estimate.h"
#include "decision/memory/socket_buffers.h"
#include "node/traffic/answer_memory.h"
#include "node/traffic/answer_scanner.h"
#include "node/traffic/connection_part.h"
#include "node/traffic/http_message.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Signals in the headers of an upstream's response.
struct UpstreamSignals {
  bool draining = false;
  bool not_run = false;
  // Whether callers take the status for a promise that the request was not run.
  bool promises_not_run = false;
  // Whether the response is from another target, which did not run the request.
  bool other_target = false;
  // Whether the response belongs to another request or was not sent by the
  // target.
  bool foreign = false;
  // Whether the target sent more bytes than an answer may take.
  bool oversized = false;
  // How long the target wants no requests; not set if it does not say.
  std::optional<Duration> rest;
  // Reported load from 0 to 1; not set if none was reported.
  std::optional<double> load;
  // Requests at the target by its own count; not set if it does not say.
  std::optional<StatedLoad> stated_load = {};
};

// Parses the signal headers of the native upstream interface. Values out of
// range are ignored. Thread-safe.
auto ReadSignals(const HttpHeaders& headers) -> UpstreamSignals;

// Conventions of the HTTP interface of upstreams.
struct UpstreamInterface {
  // Returns the signals of the response to a request.
  std::function<UpstreamSignals(const RequestHead&, const ResponseHead&)>
      read_signals;
  // Whether the end of the connection may delimit a response body.
  bool accepts_close_delimited = false;
};

// Returns the upstream interface with the Flamingoyoke-* headers. Thread-safe.
auto NativeUpstreamInterface() -> UpstreamInterface;

// A connection to a target that carries one request at a time. Each request is
// written at most once. Not thread-safe.
class UpstreamConnection {
 public:
  // Callbacks for the current request. They must not destroy the connection or
  // its event loop.
  struct Observer {
    // Called with the signals of each response head that is from the target and
    // about the request, also if the request was not run.
    std::function<void(const UpstreamSignals&)> on_signals = {};
    // Called with the response head, unless the response reports that the
    // request was not run.
    std::function<void(const ResponseHead&)> on_head;
    // Called with a part of the response body, which has several chunks if they
    // are small. Data that the callback leaves in
    // the buffer is discarded.
    std::function<void(evbuffer*)> on_body;
    // Called exactly once, as the last callback, unless Abandon() was called.
    std::function<void(AttemptResult, const UpstreamSignals&)> on_end;
  };

  // The first request opens the connection. `host` is an IP address.
  // `interface` and `memory` must outlive the connection.
  UpstreamConnection(EventLoop& loop,
                     const std::string& host,
                     std::uint16_t port,
                     const UpstreamInterface& interface,
                     AnswerMemory& memory);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  auto operator=(const UpstreamConnection&) -> UpstreamConnection& = delete;

  struct Limits {
    // Time to establish the connection.
    Duration connect_timeout;
    // Time from Send() to the start of the response.
    Duration response_timeout;
    // Time without progress after the response has started.
    Duration stall_timeout;
    // Time from Send() to the end of the response: a faulty target may send
    // bytes forever.
    Duration total_timeout;
  };
  // Sends a request. `body` may be null and must not change until the
  // connection is destroyed. Precondition: usable(), and no request is being
  // sent.
  auto Send(const RequestHead& head,
            evbuffer* body,
            const Limits& limits,
            Observer observer) -> void;

  // Drops the request without a call of on_end. The connection is not usable
  // afterwards.
  auto Abandon() -> void;

  // Stop and continue reading the response.
  auto PauseReading() -> void;
  auto ResumeReading() -> void;

  // Whether another request may be sent: every response was complete, none was
  // a refusal, and the upstream has neither closed the connection nor sent
  // unexpected bytes.
  [[nodiscard]] auto usable() const -> bool;
  // Whether an earlier request was sent on this connection.
  [[nodiscard]] auto reused() const -> bool { return request_count_ > 1; }
  // Whether bytes of the current request were written.
  [[nodiscard]] auto has_written() const -> bool { return has_written_; }

  // The callback runs once, when the upstream closes the idle connection.
  auto set_on_idle_close(std::function<void()> on_idle_close) -> void {
    on_idle_close_ = std::move(on_idle_close);
  }

  // Sets the kernel's buffers for the connection. Call before the first
  // request.
  auto set_socket_buffers(const SocketBuffers& buffers) -> void {
    socket_buffers_ = buffers;
  }

  // Counts the connection for as long as it exists.
  auto set_share(ConnectionPart::Share share) -> void {
    share_ = std::move(share);
  }

 private:
  struct ConnectionDeleter {
    auto operator()(evhttp_connection* connection) const -> void {
      evhttp_connection_free(connection);
    }
  };

  // Stops all reads and writes of evhttp on this connection.
  auto StopAllIo() -> void;
  // Memory of what was received and not passed on.
  [[nodiscard]] auto HeldBytes() const -> std::size_t;
  // Passes on what was collected of the body.
  auto PassOnBody() -> void;
  // Called when input arrives while the request is still being written.
  auto OnEarlyResponse() -> void;
  // Checks the raw answer, and the limits on what a target may make this
  // process hold.
  auto OnInput(std::size_t added) -> void;
  // Whether the last `added` bytes of the input may be part of an answer.
  auto IsValidInput(std::size_t added) -> bool;
  // Ends the attempt in a later event, because the target sent too much.
  auto EndOversized() -> void;
  // Ends the attempt in a later event and discards the input.
  auto EndBroken() -> void;
  // Sets TCP_NODELAY, the size of the buffers, and the options by which the
  // kernel detects a dead connection.
  auto SetSocketOptions() -> void;
  auto OnResponseHead(evhttp_request* request) -> bool;
  auto OnResponseBody(evhttp_request* request) -> void;
  auto OnResponseEnd(evhttp_request* request) -> void;
  auto OnTimer() -> void;
  // Starts the timer that ends a response without progress.
  auto ScheduleProgressTimer() -> void;
  auto OnClosed() -> void;
  auto Finish(AttemptResult result) -> void;
  // Result of an attempt that ended without a complete response.
  [[nodiscard]] auto FailureResult(AttemptResult after_write) const
      -> AttemptResult;

  ConnectionPart::Share share_;
  const UpstreamInterface& interface_;
  bufferevent* bev_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
  EventLoop::Handle timer_;
  Observer observer_;
  std::function<void()> on_idle_close_;
  Limits limits_{};
  TimePoint deadline_{};
  TimePoint total_deadline_{};
  // Head of the current request, for UpstreamInterface::read_signals.
  RequestHead request_head_;
  ResponseHead response_head_;
  UpstreamSignals signals_;
  AnswerScanner scanner_;
  // Input of the connection that is not parsed, the fields of the answer, and
  // body_.
  AnswerMemory::Share held_;
  // Small parts of the body that are passed on together.
  EvbufferPtr body_ = MakeEvbuffer();
  EventLoop::Handle body_timer_;
  SocketBuffers socket_buffers_;
  // The current request, which evhttp owns.
  evhttp_request* request_ = nullptr;
  // Bytes received for the current request, and those passed on as the body.
  std::uint64_t received_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
  std::uint64_t request_count_ = 0;
  bool busy_ = false;
  bool has_written_ = false;
  bool response_started_ = false;
  bool paused_ = false;
  // Whether the target sent what is no answer, or too much of one.
  bool broken_ = false;
  // Whether the connection must not be reused.
  bool must_close_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_CONNECTION_H_
