#include "node/traffic/upstream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <new>
#include <string_view>
#include <utility>

#include "node/traffic/http_text.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

constexpr int kContinue = 100;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;

// The timer of UpstreamConnection ends each attempt. This value only disables
// evhttp's default timeout of 50 s.
constexpr int kEvhttpTimeoutSeconds = 24 * 3600;

// Maximum size of a response head: four times the default for requests of
// callers. evhttp buffers the complete head and has no limit of its own.
constexpr ev_ssize_t kMaxResponseHeadBytes = 64 << 10;

// Limits on input that is not passed on to a caller: interim responses, chunk
// sizes, blank lines, trailers, and a chunk that is not complete, which evhttp
// holds as a whole. Before the head of the answer is complete, only a head may
// be held.
constexpr std::size_t kMaxHeldHeadBytes = 2 * kMaxResponseHeadBytes;
constexpr std::size_t kMaxHeldBodyBytes = 1 << 20;
// Total of the input that is parsed but not passed on, besides that of chunks,
// which take up to this many bytes for each byte of the body.
constexpr std::uint64_t kMaxOverheadBytes = 256 << 10;
constexpr std::uint64_t kMaxOverheadPerBodyByte = 8;

// Smaller parts of a body are collected: each part that is passed on takes a
// buffer of 1 KiB at least, and a target may send chunks of one byte.
constexpr std::size_t kMinPartBytes = 4096;

// TCP keepalive: the first probe after 1 s idle, then one each second, and the
// connection is closed after 2 unanswered probes. A dead connection is detected
// within 3 s, before most connections are reused.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
// The path counts as broken and the connection is closed when the peer does not
// acknowledge sent data for this long.
constexpr unsigned kUserTimeoutMs = 2000;

// Whether a response to `method` with `status` has a body.
auto HasBody(evhttp_cmd_type method, int status) -> bool {
  return method != EVHTTP_REQ_HEAD && status >= kOk && status != kNoContent &&
         status != kNotModified;
}

// Returns whether a complete response can be distinguished from a truncated
// one. A close-delimited response ends with an orderly close; a reset truncates
// it.
auto HasUnambiguousFraming(const HttpHeaders& headers,
                           bool accepts_close_delimited) -> bool {
  int lengths = 0;
  int encodings = 0;
  for (const auto& [name, value] : headers) {
    if (EqualsIgnoringCase(name, "Content-Length")) {
      ++lengths;
      if (!ParseDecimal(TrimSpace(value))) {
        return false;
      }
    }
    if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
      ++encodings;
      if (!EqualsIgnoringCase(TrimSpace(value), "chunked")) {
        return false;
      }
    }
  }
  return lengths + encodings == 1 ||
         (accepts_close_delimited && lengths + encodings == 0);
}

// Makes evhttp read the body up to the end of the connection, if the head
// states no length: with another Connection field than "close", it would report
// an empty body as complete.
auto ReadToEndWithoutLength(evkeyvalq* headers) -> void {
  if (evhttp_find_header(headers, "Content-Length") != nullptr ||
      evhttp_find_header(headers, "Transfer-Encoding") != nullptr) {
    return;
  }
  while (evhttp_remove_header(headers, "Connection") == 0) {
  }
  evhttp_add_header(headers, "Connection", "close");
}

auto ParseLoad(std::string_view text) -> std::optional<double> {
  const std::string copy(text);
  char* end = nullptr;
  const double load = std::strtod(copy.c_str(), &end);
  if (copy.empty() || *end != '\0' || !(load >= 0) || !(load <= 1)) {
    return std::nullopt;
  }
  return load;
}

}  // namespace

auto ReadSignals(const HttpHeaders& headers) -> UpstreamSignals {
  UpstreamSignals signals;
  signals.draining = FindHeader(headers, "Flamingoyoke-Drain") == "1";
  signals.not_run = FindHeader(headers, "Flamingoyoke-Not-Run") == "1";
  if (const auto load = FindHeader(headers, "Flamingoyoke-Load")) {
    signals.load = ParseLoad(*load);
  }
  return signals;
}

auto NativeUpstreamInterface() -> UpstreamInterface {
  return {.read_signals =
              [](const RequestHead&, const ResponseHead& answer) {
                auto signals = ReadSignals(answer.headers);
                signals.not_run =
                    signals.not_run && answer.status == kServiceUnavailable;
                return signals;
              },
          .accepts_close_delimited = false};
}

UpstreamConnection::UpstreamConnection(EventLoop& loop,
                                       const std::string& host,
                                       std::uint16_t port,
                                       const UpstreamInterface& interface,
                                       AnswerMemory& memory)
    : interface_(interface),
      bev_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      timer_(loop.MakeTimer([this] { OnTimer(); })),
      held_(&memory, [this] { EndOversized(); }),
      body_timer_(loop.MakeTimer([this] { PassOnBody(); })) {
  if (bev_ == nullptr) {
    throw std::bad_alloc();
  }
  evbuffer_add_cb(
      bufferevent_get_output(bev_),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        // Also true when evhttp discards unsent output. The outcome is then
        // "unknown" for a request that did not run, which is safe; the reverse
        // would not be.
        if (info->n_deleted > 0) {
          static_cast<UpstreamConnection*>(self)->has_written_ = true;
        }
      },
      this);
  evbuffer_add_cb(
      bufferevent_get_input(bev_),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        auto* connection = static_cast<UpstreamConnection*>(self);
        if (info->n_added > 0) {
          connection->OnEarlyResponse();
          connection->OnInput(info->n_added);
        }
      },
      this);
  connection_.reset(evhttp_connection_base_bufferevent_new(
      loop.base(), nullptr, bev_, host.c_str(), port));
  if (!connection_) {
    bufferevent_free(bev_);
    throw std::bad_alloc();
  }
  // A retry by evhttp could send a non-repeatable request twice.
  evhttp_connection_set_retries(connection_.get(), 0);
  evhttp_connection_set_timeout(connection_.get(), kEvhttpTimeoutSeconds);
  evhttp_connection_set_max_headers_size(connection_.get(),
                                         kMaxResponseHeadBytes);
  evhttp_connection_set_closecb(
      connection_.get(),
      [](evhttp_connection*, void* self) {
        static_cast<UpstreamConnection*>(self)->OnClosed();
      },
      this);
}

UpstreamConnection::~UpstreamConnection() {
  Abandon();
  // Destroyed first, as its callbacks use the other members.
  connection_.reset();
}

auto UpstreamConnection::Send(const RequestHead& head,
                              evbuffer* body,
                              const Limits& limits,
                              Observer observer) -> void {
  observer_ = std::move(observer);
  limits_ = limits;
  request_head_ = head;
  response_head_ = {};
  signals_ = {};
  ++request_count_;
  busy_ = true;
  has_written_ = false;
  response_started_ = false;
  received_bytes_ = 0;
  body_bytes_ = 0;
  broken_ = false;
  scanner_ = AnswerScanner(head.method != "HEAD");
  const auto now = Now();
  deadline_ = now + limits.response_timeout;
  total_deadline_ = now + limits.total_timeout;
  auto* request = evhttp_request_new(
      [](evhttp_request* done, void* self) {
        static_cast<UpstreamConnection*>(self)->OnResponseEnd(done);
      },
      this);
  if (request == nullptr) {
    throw std::bad_alloc();
  }
  request_ = request;
  evhttp_request_set_header_cb(request, [](evhttp_request* r, void* self) {
    return static_cast<UpstreamConnection*>(self)->OnResponseHead(r) ? 0 : -1;
  });
  evhttp_request_set_chunked_cb(request, [](evhttp_request* r, void* self) {
    static_cast<UpstreamConnection*>(self)->OnResponseBody(r);
  });
  auto* headers = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : head.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (body != nullptr && evbuffer_get_length(body) > 0) {
    // The body is referenced and not moved, as another attempt may need it.
    evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(request),
                                  body);
  }
  timer_.Schedule(request_count_ > 1 ? limits.response_timeout
                                     : std::min(limits.connect_timeout,
                                                limits.response_timeout));
  if (evhttp_make_request(connection_.get(), request, ToCommand(head.method),
                          head.target.c_str()) != 0) {
    Finish(AttemptResult::kConnectFailed);
    return;
  }
  if (request_count_ == 1) {
    SetSocketOptions();
  }
}

auto UpstreamConnection::SetSocketOptions() -> void {
  const auto descriptor = bufferevent_getfd(bev_);
  if (descriptor < 0) {
    return;
  }
  const auto set = [descriptor](int level, int name, const auto& value) {
    // Errors are ignored: the timer ends each attempt without these options.
    setsockopt(descriptor, level, name, &value, sizeof(value));
  };
  constexpr int kOn = 1;
  set(IPPROTO_TCP, TCP_NODELAY, kOn);
  set(SOL_SOCKET, SO_KEEPALIVE, kOn);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  if (socket_buffers_.receive_bytes > 0) {
    set(SOL_SOCKET, SO_RCVBUF, socket_buffers_.receive_bytes);
    set(SOL_SOCKET, SO_SNDBUF, socket_buffers_.send_bytes);
  }
}

auto UpstreamConnection::OnEarlyResponse() -> void {
  auto* output = bufferevent_get_output(bev_);
  if (!busy_ || response_started_ || evbuffer_get_length(output) == 0) {
    return;
  }
  // The upstream responds before it has read the complete request. evhttp reads
  // the response only after the last byte of the request was written, which may
  // never happen. The rest of the request is discarded and the connection is
  // not reused.
  must_close_ = true;
  evbuffer_unfreeze(output, 1);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_freeze(output, 1);
  // The write callback must run only once, by the trigger below.
  bufferevent_disable(bev_, EV_WRITE);
  bufferevent_trigger(bev_, EV_WRITE,
                      BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

auto UpstreamConnection::OnInput(std::size_t added) -> void {
  const auto held = evbuffer_get_length(bufferevent_get_input(bev_));
  if (!busy_) {
    held_.Set(held);
    return;
  }
  if (broken_) {
    return;
  }
  if (!scanner_.is_done() && !IsValidInput(added)) {
    EndBroken();
    return;
  }
  held_.Set(HeldBytes());
  // Set() ends the connection that holds most, which may be this one.
  if (broken_) {
    return;
  }
  received_bytes_ += added;
  const auto max_held =
      response_started_ ? kMaxHeldBodyBytes : kMaxHeldHeadBytes;
  const auto max_received = kMaxOverheadBytes + held + body_bytes_ +
                            kMaxOverheadPerBodyByte * body_bytes_;
  if (held > max_held || received_bytes_ > max_received) {
    EndOversized();
  }
}

auto UpstreamConnection::IsValidInput(std::size_t added) -> bool {
  auto* input = bufferevent_get_input(bev_);
  evbuffer_ptr position{};
  evbuffer_ptr_set(input, &position, evbuffer_get_length(input) - added,
                   EVBUFFER_PTR_SET);
  evbuffer_iovec part{};
  while (evbuffer_peek(input, -1, &position, &part, 1) >= 1) {
    if (!scanner_.Consume(std::string_view(
            static_cast<const char*>(part.iov_base), part.iov_len))) {
      return false;
    }
    if (evbuffer_ptr_set(input, &position, part.iov_len, EVBUFFER_PTR_ADD) !=
        0) {
      break;
    }
  }
  return true;
}

auto UpstreamConnection::HeldBytes() const -> std::size_t {
  return evbuffer_get_length(bufferevent_get_input(bev_)) +
         evbuffer_get_length(body_.get()) + scanner_.held_bytes();
}

auto UpstreamConnection::EndOversized() -> void {
  signals_.oversized = true;
  EndBroken();
}

auto UpstreamConnection::EndBroken() -> void {
  broken_ = true;
  must_close_ = true;
  // While its callbacks are set, evhttp enables reading again.
  StopAllIo();
  auto* input = bufferevent_get_input(bev_);
  evbuffer_drain(input, evbuffer_get_length(input));
  scanner_ = AnswerScanner();
  if (request_ != nullptr && !response_started_) {
    // evhttp parses no more of this head.
    evhttp_clear_headers(evhttp_request_get_input_headers(request_));
  }
  held_.Set(0);
  timer_.Schedule(Duration::zero());
}

auto UpstreamConnection::Abandon() -> void {
  observer_ = {};
  on_idle_close_ = nullptr;
  busy_ = false;
  must_close_ = true;
  request_ = nullptr;
  held_.Set(0);
  timer_.Cancel();
  body_timer_.Cancel();
  StopAllIo();
}

auto UpstreamConnection::StopAllIo() -> void {
  // libevent continues to connect while writing is disabled, and evhttp would
  // write the request once the connection is established.
  bufferevent_setcb(bev_, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev_, EV_READ | EV_WRITE);
}

auto UpstreamConnection::PauseReading() -> void {
  paused_ = true;
  bufferevent_disable(bev_, EV_READ);
}

auto UpstreamConnection::ResumeReading() -> void {
  if (!paused_) {
    return;
  }
  paused_ = false;
  if (busy_) {
    bufferevent_enable(bev_, EV_READ);
  }
}

auto UpstreamConnection::usable() const -> bool {
  if (must_close_ || busy_) {
    return false;
  }
  if (request_count_ == 0) {
    return true;
  }
  // Detects a close or stray input that the event loop has not processed yet.
  char byte = 0;
  const auto peeked = recv(bufferevent_getfd(bev_), &byte, sizeof(byte),
                           MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
         evbuffer_get_length(bufferevent_get_input(bev_)) == 0;
}

auto UpstreamConnection::OnResponseHead(evhttp_request* request) -> bool {
  if (!busy_) {
    return false;
  }
  const int status = evhttp_request_get_response_code(request);
  if (status == kContinue) {
    // evhttp would add them to the fields of the final answer.
    evhttp_clear_headers(evhttp_request_get_input_headers(request));
    return true;
  }
  if (status < kOk) {
    // Other informational responses are not expected, and evhttp would treat
    // them as final.
    return false;
  }
  const auto* reason = evhttp_request_get_response_code_line(request);
  response_head_ = {status, reason == nullptr ? "" : reason,
                    CopyHeaders(evhttp_request_get_input_headers(request))};
  const bool oversized = signals_.oversized;
  signals_ = interface_.read_signals(request_head_, response_head_);
  signals_.oversized = oversized;
  const bool has_body = HasBody(evhttp_request_get_command(request), status);
  if (signals_.foreign ||
      (has_body &&
       !HasUnambiguousFraming(response_head_.headers,
                              interface_.accepts_close_delimited))) {
    must_close_ = true;
    response_started_ = true;
    return false;
  }
  if (has_body) {
    ReadToEndWithoutLength(evhttp_request_get_input_headers(request));
  }
  response_started_ = true;
  if (!broken_) {
    ScheduleProgressTimer();
  }
  signals_.not_run = signals_.not_run || signals_.other_target;
  if (observer_.on_signals && !signals_.other_target) {
    observer_.on_signals(signals_);
  }
  if (!signals_.not_run && observer_.on_head) {
    observer_.on_head(response_head_);
  }
  return busy_;
}

auto UpstreamConnection::OnResponseBody(evhttp_request* request) -> void {
  if (!busy_) {
    return;
  }
  auto* data = evhttp_request_get_input_buffer(request);
  const auto size = evbuffer_get_length(data);
  body_bytes_ += size;
  held_.Set(HeldBytes());
  if (!broken_) {
    ScheduleProgressTimer();
  }
  if (signals_.not_run || !observer_.on_body) {
    return;
  }
  if (size >= kMinPartBytes) {
    PassOnBody();
    if (observer_.on_body) {
      observer_.on_body(data);
    }
    return;
  }
  evbuffer_add(body_.get(), evbuffer_pullup(data, -1), size);
  if (evbuffer_get_length(body_.get()) >= kMinPartBytes) {
    PassOnBody();
  } else {
    // Runs after the chunks that were received together.
    body_timer_.Schedule(Duration::zero());
  }
}

auto UpstreamConnection::PassOnBody() -> void {
  body_timer_.Cancel();
  if (evbuffer_get_length(body_.get()) > 0 && observer_.on_body) {
    observer_.on_body(body_.get());
  }
  evbuffer_drain(body_.get(), evbuffer_get_length(body_.get()));
}

auto UpstreamConnection::OnResponseEnd(evhttp_request* request) -> void {
  if (!busy_) {
    return;
  }
  if (request == nullptr || !response_started_ ||
      evhttp_request_get_response_code(request) < kOk) {
    must_close_ = true;
    Finish(FailureResult(AttemptResult::kReset));
    return;
  }
  if (evbuffer_get_length(bufferevent_get_input(bev_)) > 0) {
    // Bytes after the response could be read as the response to the next
    // request.
    must_close_ = true;
  }
  if (signals_.not_run) {
    // A target may send the refusal twice. The second copy would be read as the
    // response to the next request.
    must_close_ = true;
    Finish(AttemptResult::kShed);
    return;
  }
  if (signals_.promises_not_run) {
    Finish(AttemptResult::kFalseRefusal);
    return;
  }
  Finish(response_head_.status >= kServerError ? AttemptResult::kServerError
                                               : AttemptResult::kAnswered);
}

auto UpstreamConnection::OnTimer() -> void {
  if (!busy_) {
    return;
  }
  const auto now = Now();
  if (broken_) {
    StopAllIo();
    Finish(FailureResult(AttemptResult::kReset));
    return;
  }
  const bool has_time = now < total_deadline_;
  if (paused_ && has_time) {
    // While paused, the write timeout of the caller connection applies.
    ScheduleProgressTimer();
    return;
  }
  if (has_written_ && !response_started_ && now < deadline_) {
    timer_.Schedule(deadline_ - now);
    return;
  }
  const auto result = response_started_ && !has_time
                          ? AttemptResult::kTimeout
                          : FailureResult(AttemptResult::kTimeout);
  StopAllIo();
  must_close_ = true;
  Finish(result);
}

auto UpstreamConnection::ScheduleProgressTimer() -> void {
  timer_.Schedule(
      std::max(std::min(limits_.stall_timeout, total_deadline_ - Now()),
               Duration::zero()));
}

auto UpstreamConnection::OnClosed() -> void {
  must_close_ = true;
  if (busy_) {
    return;
  }
  if (const auto closed = std::exchange(on_idle_close_, nullptr)) {
    closed();
  }
}

auto UpstreamConnection::Finish(AttemptResult result) -> void {
  PassOnBody();
  request_ = nullptr;
  // An idle connection keeps neither heads nor the start of a line.
  request_head_ = {};
  response_head_ = {};
  scanner_ = AnswerScanner();
  busy_ = false;
  paused_ = false;
  held_.Set(0);
  timer_.Cancel();
  const auto observer = std::exchange(observer_, {});
  if (result != AttemptResult::kAnswered &&
      result != AttemptResult::kServerError &&
      result != AttemptResult::kFalseRefusal &&
      result != AttemptResult::kShed) {
    must_close_ = true;
  }
  if (observer.on_end) {
    observer.on_end(result, signals_);
  }
}

auto UpstreamConnection::FailureResult(AttemptResult after_write) const
    -> AttemptResult {
  if (response_started_) {
    return AttemptResult::kPartialAnswer;
  }
  return has_written_ ? after_write : AttemptResult::kConnectFailed;
}

}  // namespace flamingoyoke
