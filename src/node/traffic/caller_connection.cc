#include "node/traffic/caller_connection.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "node/traffic/error_response.h"
#include "node/traffic/http_text.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

// Bytes of pipelined requests that are buffered while a response is pending.
// Reading stops above this and resumes after the response.
constexpr std::size_t kMaxPipelinedBytes = 16 << 10;

// Memory of a connection that holds nothing else: its bufferevent, evhttp's
// objects and this one.
constexpr std::uint64_t kConnectionBytes = 4096;
// Memory that each header field and byte of a head takes while the request is
// served: two copies and those of evhttp for the caller and for the target.
constexpr std::uint64_t kBytesPerField = 512;
constexpr std::uint64_t kBytesPerHeadByte = 5;
// Input that counts as progress.
constexpr std::uint64_t kProgressBytes = 4096;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Interval between the checks of a lingering close. The connection is closed
// after two checks in a row that find all output acknowledged.
constexpr Duration kLingerPeriod = std::chrono::milliseconds(500);
// Input that a lingering close discards at most, such as the rest of a rejected
// upload.
constexpr std::uint64_t kMaxLingerBytes = 8 << 20;

// Callers send their first request right after connecting; one lost packet is
// retransmitted within this time.
constexpr Duration kFirstRequestWait = std::chrono::milliseconds(500);

auto MakeEvent(EventLoop& loop, event_callback_fn callback, void* argument)
    -> event* {
  return event_new(loop.base(), -1, 0, callback, argument);
}

// Returns the number of sent bytes that the peer has not acknowledged.
auto UnacknowledgedBytes(int descriptor) -> int {
  int bytes = 0;
  return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

// Returns whether `headers` ask for the connection to be closed, and removes
// the header.
auto TakeConnectionClose(evkeyvalq* headers) -> bool {
  const char* value = evhttp_find_header(headers, "Connection");
  const bool closes = value != nullptr && EqualsIgnoringCase(value, "close");
  if (closes) {
    evhttp_remove_header(headers, "Connection");
  }
  return closes;
}

// Whether parsers may disagree where a request with the error starts or ends.
auto IsAmbiguous(ErrorKind kind) -> bool {
  return kind == ErrorKind::kMalformedRequest ||
         kind == ErrorKind::kConflictingHeaders;
}

auto ToTimeval(Duration duration) -> timeval {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(duration);
  return {.tv_sec = seconds.count(),
          .tv_usec = static_cast<suseconds_t>((duration - seconds).count())};
}

}  // namespace

CallerConnection::CallerConnection(EventLoop& loop,
                                   bufferevent* bev,
                                   const CallerConnectionLimits& limits,
                                   BodyBudget& budget,
                                   CallerMemory& memory,
                                   const Owner& owner)
    : bev_(bev),
      limits_(limits),
      budget_(budget),
      owner_(owner),
      memory_(memory),
      share_(memory, [this] { GiveWay(); }),
      input_(
          limits.request,
          [this](const ScannedHead& head) { return CheckHead(head); },
          [this](std::uint64_t bytes) { return ReserveChunk(bytes); }),
      last_progress_(Now()),
      timer_(loop.MakeTimer([this] { OnTimer(); })) {
  evbuffer_add_cb(
      bufferevent_get_input(bev),
      [](evbuffer* input, const evbuffer_cb_info* info, void* self) {
        static_cast<CallerConnection*>(self)->OnInput(input, *info);
      },
      this);
  evbuffer_add_cb(
      bufferevent_get_output(bev),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        static_cast<CallerConnection*>(self)->OnOutput(*info);
      },
      this);
  // evhttp sets its callbacks only after this constructor has returned, and
  // again after OnReplySent(). The event below runs after that and before any
  // other event of the connection.
  attach_event_.reset(MakeEvent(
      loop,
      [](evutil_socket_t, short, void* self) {
        auto* connection = static_cast<CallerConnection*>(self);
        connection->AttachEvhttp();
        if (connection->reads_later_) {
          connection->OnTimer();
        }
      },
      this));
  event_active(attach_event_.get(), EV_TIMEOUT, 0);
  close_event_.reset(MakeEvent(
      loop,
      [](evutil_socket_t, short, void* self) {
        auto* connection = static_cast<CallerConnection*>(self)->connection_;
        if (connection != nullptr) {
          evhttp_connection_free(connection);
        }
      },
      this));
  timer_.Schedule(limits_.idle_timeout);
  UpdateMemory(true);
}

CallerConnection::~CallerConnection() = default;

auto CallerConnection::AttachEvhttp() -> void {
  if (connection_ != nullptr) {
    return;
  }
  bufferevent_getcb(bev_, &evhttp_callbacks_.read, &evhttp_callbacks_.write,
                    &evhttp_callbacks_.event, &evhttp_callbacks_.argument);
  // The callback argument is the evhttp_connection; evhttp has no other way to
  // get it before the first request.
  connection_ = static_cast<evhttp_connection*>(evhttp_callbacks_.argument);
  evhttp_connection_set_closecb(
      connection_,
      [](evhttp_connection*, void* self) {
        static_cast<CallerConnection*>(self)->OnClosed();
      },
      this);
  if (socket_buffers_.send_bytes > 0) {
    // Errors are ignored: the connection works with larger buffers.
    const auto set = [this](int name, int bytes) {
      setsockopt(bufferevent_getfd(bev_), SOL_SOCKET, name, &bytes,
                 sizeof(bytes));
    };
    set(SO_RCVBUF, socket_buffers_.receive_bytes);
    set(SO_SNDBUF, socket_buffers_.send_bytes);
  }
  const auto write_timeout = ToTimeval(limits_.write_timeout);
  bufferevent_set_timeouts(bev_, nullptr, &write_timeout);
}

auto CallerConnection::CheckHead(const ScannedHead& head)
    -> std::variant<BodyAllowance, ErrorKind> {
  auto checked = owner_.check_head(head);
  if (std::holds_alternative<ErrorKind>(checked)) {
    return checked;
  }
  const auto allowance = std::get<BodyAllowance>(checked).max_bytes;
  // The size of a chunked body is unknown; each chunk is reserved as it comes.
  const auto bytes = head.content_length.value_or(0);
  if (bytes > allowance) {
    return ErrorKind::kRequestTooLarge;
  }
  const auto request_bytes =
      bytes + head.fields * kBytesPerField + head.bytes * kBytesPerHeadByte;
  if (!CanHold(bytes, request_bytes)) {
    return ErrorKind::kBodyBudgetExhausted;
  }
  reservation_ = budget_.Reserve(bytes);
  request_bytes_ = request_bytes;
  return checked;
}

auto CallerConnection::ReserveChunk(std::uint64_t bytes)
    -> std::optional<ErrorKind> {
  if (!CanHold(bytes, bytes)) {
    return ErrorKind::kBodyBudgetExhausted;
  }
  reservation_.Grow(bytes);
  request_bytes_ += bytes;
  return std::nullopt;
}

auto CallerConnection::CanHold(std::uint64_t body_bytes,
                               std::uint64_t request_bytes) -> bool {
  if (!budget_.CanReserve(body_bytes)) {
    memory_.Reclaim(body_bytes);
  }
  if (!budget_.CanReserve(body_bytes)) {
    memory_.CountTurnedAway(CallerLimit::kBodies);
    return false;
  }
  if (!memory_.MakeRoom(request_bytes)) {
    memory_.CountTurnedAway(CallerLimit::kMemory);
    return false;
  }
  return true;
}

auto CallerConnection::OnInput(evbuffer* input, const evbuffer_cb_info& info)
    -> void {
  if (info.n_added == 0 || is_feeding_) {
    return;
  }
  if (rejecting_ || lingering_) {
    DiscardInput();
    return;
  }
  AttachEvhttp();
  const bool was_receiving = receiving();
  input_.Append(input);
  bytes_since_progress_ += info.n_added;
  last_input_ = Now();
  ReadRequest();
  if (busy_ && input_.unread_bytes() > kMaxPipelinedBytes) {
    bufferevent_disable(bev_, EV_READ);
  }
  if (!busy_ && !rejecting_ && !was_receiving && receiving()) {
    timer_.Schedule(limits_.receive_timeout);
  }
  const bool has_progressed = bytes_since_progress_ >= kProgressBytes;
  if (has_progressed) {
    bytes_since_progress_ = 0;
  }
  UpdateMemory(has_progressed);
}

auto CallerConnection::OnOutput(const evbuffer_cb_info& info) -> void {
  if (connection_ != nullptr) {
    // A caller has its time to read from the start of an answer, however long
    // it waited for it.
    UpdateMemory(info.n_deleted > 0 || info.orig_size == 0);
  }
}

auto CallerConnection::ReadRequest() -> void {
  if (busy_) {
    return;
  }
  is_reading_ = true;
  const bool is_complete = input_.ReadRequest();
  is_reading_ = false;
  if (std::exchange(must_give_way_, false)) {
    Reject(ErrorKind::kBodyBudgetExhausted);
    return;
  }
  if (const auto violation = input_.violation()) {
    if (reads_later_ && IsAmbiguous(*violation)) {
      // The caller may take an answer for that to the request before it.
      StartLingering();
      return;
    }
    Reject(*violation);
    return;
  }
  if (input_.TakeContinue()) {
    // evhttp cannot write while it waits for a head. All earlier responses were
    // written, so the order is kept. A caller that does not get this sends its
    // body after a while.
    (void)send(bufferevent_getfd(bev_), kContinue.data(), kContinue.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  if (!is_complete) {
    return;
  }
  busy_ = true;
  auto* input = bufferevent_get_input(bev_);
  const auto head = input_.TakeHead();
  is_feeding_ = true;
  // libevent keeps others from adding input except while it reads.
  evbuffer_unfreeze(input, 0);
  evbuffer_add(input, head.data(), head.size());
  evbuffer_freeze(input, 0);
  is_feeding_ = false;
  // Also calls evhttp outside of a read. The callback is deferred, so it runs
  // once if libevent calls it after this read too.
  bufferevent_trigger(bev_, EV_READ,
                      BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

auto CallerConnection::UpdateMemory(bool has_progressed) -> void {
  if (has_progressed) {
    last_progress_ = Now();
  }
  // evhttp enables reading whenever it sends, and the next read would come
  // before it can be disabled. A read of one byte still detects a close.
  const bool is_ahead = input_.unread_bytes() > kMaxPipelinedBytes;
  bufferevent_set_max_single_read(bev_, is_ahead ? 1 : 0);
  const auto output = pending_output_bytes();
  const bool waits = busy_ && exchange_ != nullptr;
  // AnswerMemory counts the output of a response that is not complete.
  const auto held = kConnectionBytes + input_.held_bytes() + request_bytes_ +
                    (waits ? 0 : output);
  const bool may_give_way =
      !lingering_ && !rejecting_ && (output > 0 || (!busy_ && receiving()));
  share_.Set(held,
             may_give_way ? kConnectionBytes + input_.held_bytes() +
                                request_bytes_ + output
                          : 0,
             has_progressed);
}

auto CallerConnection::GiveWay() -> void {
  if (connection_ == nullptr || rejecting_ || lingering_) {
    return;
  }
  memory_.CountTurnedAway(CallerLimit::kProgress);
  if (is_reading_) {
    must_give_way_ = true;
    return;
  }
  if (busy_) {
    ScheduleClose();
    return;
  }
  Reject(ErrorKind::kBodyBudgetExhausted);
}

auto CallerConnection::stalled_since() const -> std::optional<TimePoint> {
  const bool is_stalled = connection_ != nullptr && !is_closing_ &&
                          !rejecting_ && !lingering_ && !busy_ &&
                          (receiving() || delivered_requests_ == 0);
  return is_stalled ? std::optional(last_progress_) : std::nullopt;
}

auto CallerConnection::Reject(ErrorKind kind) -> void {
  rejecting_ = true;
  DiscardInput();
  DropRequest();
  bufferevent_setcb(
      bev_, nullptr,
      [](bufferevent*, void* self) {
        static_cast<CallerConnection*>(self)->StartLingering();
      },
      [](bufferevent*, short, void* self) {
        static_cast<CallerConnection*>(self)->Close();
      },
      this);
  const auto text = RenderClosingError(kind);
  bufferevent_write(bev_, text.data(), text.size());
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  timer_.Schedule(limits_.write_timeout);
}

auto CallerConnection::StartLingering() -> void {
  if (std::exchange(lingering_, true)) {
    return;
  }
  busy_ = false;
  linger_started_ = Now();
  DiscardInput();
  DropRequest();
  bufferevent_enable(bev_, EV_READ);
  shutdown(bufferevent_getfd(bev_), SHUT_WR);
  timer_.Schedule(kLingerPeriod);
}

auto CallerConnection::DropRequest() -> void {
  input_.Drop();
  reservation_ = {};
  request_bytes_ = 0;
  UpdateMemory(false);
}

auto CallerConnection::DiscardInput() -> void {
  auto* input = bufferevent_get_input(bev_);
  const auto bytes = evbuffer_get_length(input);
  discarded_bytes_ += bytes;
  evbuffer_drain(input, bytes);
  if (discarded_bytes_ > kMaxLingerBytes) {
    timer_.Schedule(Duration::zero());
  }
}

auto CallerConnection::OnLingerTimer() -> void {
  const bool is_acknowledged =
      UnacknowledgedBytes(bufferevent_getfd(bev_)) == 0;
  const bool is_received =
      std::exchange(was_acknowledged_, is_acknowledged) && is_acknowledged;
  if (is_received || discarded_bytes_ > kMaxLingerBytes ||
      Now() - linger_started_ >= limits_.write_timeout) {
    ScheduleClose();
    return;
  }
  timer_.Schedule(kLingerPeriod);
}

auto CallerConnection::OnRequest(evhttp_request* request)
    -> std::unique_ptr<CallerExchange> {
  AttachEvhttp();
  ++delivered_requests_;
  busy_ = true;
  timer_.Cancel();
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request* sent, void* self) {
        static_cast<CallerConnection*>(self)->OnReplySent(sent);
      },
      this);
  auto share = std::make_unique<CallerMemory::Share>(memory_);
  const auto request_bytes = std::exchange(request_bytes_, 0);
  UpdateMemory(true);
  share->Set(request_bytes);
  auto exchange = std::make_unique<CallerExchange>(
      request, this, input_.TakeBody(),
      CallerExchange::Held{std::exchange(reservation_, {}), std::move(share)});
  exchange_ = exchange.get();
  WatchForDisconnect();
  return exchange;
}

auto CallerConnection::WatchForDisconnect() -> void {
  // evhttp does not read while a response is pending and would not detect that
  // the caller disconnected. It installs its own callbacks again when it sends
  // the response.
  bufferevent_setcb(
      bev_, nullptr, nullptr,
      [](bufferevent*, short, void* self) {
        static_cast<CallerConnection*>(self)->Close();
      },
      this);
  if (input_.unread_bytes() > kMaxPipelinedBytes) {
    bufferevent_disable(bev_, EV_READ);
  } else {
    bufferevent_enable(bev_, EV_READ);
  }
}

auto CallerConnection::Close() -> void {
  bufferevent_setcb(bev_, evhttp_callbacks_.read, evhttp_callbacks_.write,
                    evhttp_callbacks_.event, evhttp_callbacks_.argument);
  evhttp_callbacks_.event(bev_, BEV_EVENT_READING | BEV_EVENT_EOF,
                          evhttp_callbacks_.argument);
}

auto CallerConnection::LimitFirstRequestWait() -> void {
  timer_.Schedule(std::min(kFirstRequestWait, limits_.idle_timeout));
}

auto CallerConnection::ScheduleClose() -> void {
  is_closing_ = true;
  bufferevent_disable(bev_, EV_READ | EV_WRITE);
  event_active(close_event_.get(), EV_TIMEOUT, 0);
}

auto CallerConnection::CloseAfterFlush() -> void {
  bufferevent_setcb(
      bev_, nullptr,
      [](bufferevent*, void* self) {
        static_cast<CallerConnection*>(self)->StartLingering();
      },
      [](bufferevent*, short, void* self) {
        static_cast<CallerConnection*>(self)->ScheduleClose();
      },
      this);
  if (pending_output_bytes() == 0) {
    StartLingering();
  }
}

auto CallerConnection::OnClosed() -> void {
  connection_ = nullptr;
  // A caller may leave right after its answer was sent. The event would then
  // attach to evhttp's connection, which is freed, before this one is.
  event_del(attach_event_.get());
  timer_.Cancel();
  if (auto* exchange = std::exchange(exchange_, nullptr)) {
    exchange->OnConnectionClosed();
  }
  busy_ = false;
  input_.Drop();
  reservation_ = {};
  share_.Set(0);
  owner_.on_closed(this);
}

auto CallerConnection::OnReplySent(evhttp_request* request) -> void {
  busy_ = false;
  // evhttp would close the connection at once for these headers.
  const bool request_closes =
      TakeConnectionClose(evhttp_request_get_input_headers(request));
  const bool response_closes =
      TakeConnectionClose(evhttp_request_get_output_headers(request));
  if (request_closes || response_closes) {
    StartLingering();
  } else {
    reads_later_ = receiving();
    if (reads_later_) {
      // A timer would run after the next read, so that each response would let
      // more input in than one request takes out.
      event_active(attach_event_.get(), EV_TIMEOUT, 0);
    }
    timer_.Schedule(limits_.idle_timeout);
  }
  owner_.on_reply_sent(this);
}

auto CallerConnection::OnTimer() -> void {
  if (connection_ == nullptr || busy_) {
    return;
  }
  if (lingering_) {
    OnLingerTimer();
    return;
  }
  if (rejecting_) {
    // The caller does not read the error response.
    Close();
    return;
  }
  if (reads_later_) {
    timer_.Schedule(limits_.receive_timeout);
    ReadRequest();
    reads_later_ = false;
    if (busy_ && input_.unread_bytes() > kMaxPipelinedBytes) {
      bufferevent_disable(bev_, EV_READ);
    }
    UpdateMemory(true);
    return;
  }
  const auto silence = Now() - last_input_;
  if (input_.in_body() && silence < limits_.receive_timeout) {
    timer_.Schedule(limits_.receive_timeout - silence);
    return;
  }
  if (receiving()) {
    memory_.CountTurnedAway(CallerLimit::kTime);
    Reject(ErrorKind::kRequestTooSlow);
    return;
  }
  StartLingering();
}

auto CallerConnection::closes_after_reply() const -> bool {
  return owner_.closes_after_reply();
}

auto CallerConnection::pending_output_bytes() const -> std::size_t {
  return evbuffer_get_length(bufferevent_get_output(bev_));
}

}  // namespace flamingoyoke
