#ifndef FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_CONNECTION_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_CONNECTION_H_

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "node/traffic/http_message.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Signals that an upstream sends with its answers.
struct UpstreamSignals {
  bool draining = false;
  bool not_run = false;
  // Whether another target answers at the address; it did not run the request.
  bool other_target = false;
  // Whether the answer belongs to another request or is not the target's own.
  bool foreign = false;
  // Reported load, 0 to 1; not set if none was reported.
  std::optional<double> load;
};

// Reads the signals of the project's own upstream interface from the headers
// of an answer; values outside their range are ignored. Thread-safe.
auto ReadSignals(const HttpHeaders& headers) -> UpstreamSignals;

// How upstreams are spoken to.
struct UpstreamInterface {
  // Reads the signals of the answer to a request.
  std::function<UpstreamSignals(const RequestHead&, const ResponseHead&)>
      read_signals;
  // Whether an answer may end with its connection, without a length.
  bool accepts_close_delimited = false;
};

// Returns the project's own upstream interface. Thread-safe.
auto NativeUpstreamInterface() -> UpstreamInterface;

// One connection to a target, which carries one request at a time. The request
// is written at most once. Not thread-safe.
class UpstreamConnection {
 public:
  // What happens to the request that is being sent. Each may destroy neither
  // the connection nor its loop while it runs.
  struct Observer {
    // The answer's head is there. Not called for an answer with which the
    // upstream says that it did not run the request.
    std::function<void(const ResponseHead&)> on_head;
    // A part of the answer's body; what is left in it is dropped.
    std::function<void(evbuffer*)> on_body;
    // Called exactly once, last, unless the connection was abandoned.
    std::function<void(AttemptResult, const UpstreamSignals&)> on_end;
  };

  // The connection is opened by the first request. `host` is an IP address.
  // `interface` must outlive the connection.
  UpstreamConnection(EventLoop& loop,
                     const std::string& host,
                     std::uint16_t port,
                     const UpstreamInterface& interface);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  auto operator=(const UpstreamConnection&) -> UpstreamConnection& = delete;

  // Sends a request; `body` may be null and must not change until the
  // connection is destroyed. `response_timeout` ends an attempt whose answer
  // has not begun, `connect_timeout` one that is not connected, `stall_timeout`
  // an answer without progress, and `total_timeout` one that is not whole: a
  // target in trouble may send bytes without end. Precondition: usable(), and
  // no request is being sent.
  struct Limits {
    Duration connect_timeout;
    Duration response_timeout;
    Duration stall_timeout;
    Duration total_timeout;
  };
  auto Send(const RequestHead& head,
            evbuffer* body,
            const Limits& limits,
            Observer observer) -> void;

  // Drops the request without a call of on_end. The connection is not usable
  // afterwards.
  auto Abandon() -> void;

  // Stops and continues reading the answer.
  auto PauseReading() -> void;
  auto ResumeReading() -> void;

  // Whether another request may be sent: nothing was ever cut off or refused,
  // and the upstream has neither closed the connection nor sent a stray byte.
  [[nodiscard]] auto usable() const -> bool;
  // Whether a request was sent before on this connection.
  [[nodiscard]] auto reused() const -> bool { return request_count_ > 1; }
  // Whether a byte of the current request was written.
  [[nodiscard]] auto has_written() const -> bool { return has_written_; }

  // Called once when the upstream closes the connection while it is idle.
  auto set_on_idle_close(std::function<void()> on_idle_close) -> void {
    on_idle_close_ = std::move(on_idle_close);
  }

 private:
  struct ConnectionDeleter {
    auto operator()(evhttp_connection* connection) const -> void {
      evhttp_connection_free(connection);
    }
  };

  // Lets evhttp neither read nor write any more on this connection.
  auto StopAllIo() -> void;
  // Bytes came in while the request is still being written.
  auto OnEarlyResponse() -> void;
  // Lets the kernel find out that the connection went silent.
  auto SetSocketOptions() -> void;
  auto OnResponseHead(evhttp_request* request) -> bool;
  auto OnResponseBody(evhttp_request* request) -> void;
  auto OnResponseEnd(evhttp_request* request) -> void;
  auto OnTimer() -> void;
  // Gives an answer that has begun time until it makes progress.
  auto ScheduleProgressTimer() -> void;
  auto OnClosed() -> void;
  auto Finish(AttemptResult result) -> void;
  // Result of an attempt that ended without a whole answer.
  [[nodiscard]] auto FailureResult(AttemptResult after_write) const
      -> AttemptResult;

  const UpstreamInterface& interface_;
  bufferevent* bev_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
  EventLoop::Handle timer_;
  Observer observer_;
  std::function<void()> on_idle_close_;
  Limits limits_{};
  TimePoint deadline_{};
  TimePoint total_deadline_{};
  // Head of the request without its body, to compare the answer with.
  RequestHead request_head_;
  ResponseHead response_head_;
  UpstreamSignals signals_;
  std::uint64_t request_count_ = 0;
  bool busy_ = false;
  bool has_written_ = false;
  bool response_started_ = false;
  bool paused_ = false;
  // Whether the connection must not carry another request.
  bool must_close_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_CONNECTION_H_
