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
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;

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
                                   const Owner& owner)
    : loop_(loop),
      bev_(bev),
      limits_(limits),
      budget_(budget),
      owner_(owner),
      scanner_(
          limits.request,
          [this](const ScannedHead& head) { return CheckHead(head); },
          [this](std::uint64_t bytes) { return ReserveChunk(bytes); }),
      timer_(loop.MakeTimer([this] { OnTimer(); })) {
  evbuffer_add_cb(
      bufferevent_get_input(bev),
      [](evbuffer* input, const evbuffer_cb_info* info, void* self) {
        static_cast<CallerConnection*>(self)->OnInput(input, *info);
      },
      this);
  // evhttp sets its callbacks only after this constructor has returned. The
  // event below runs after that and before any other event of the connection.
  attach_event_.reset(MakeEvent(
      loop,
      [](evutil_socket_t, short, void* self) {
        static_cast<CallerConnection*>(self)->AttachEvhttp();
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
  if (!budget_.CanReserve(bytes)) {
    return ErrorKind::kBodyBudgetExhausted;
  }
  reservations_.push_back(budget_.Reserve(bytes));
  return checked;
}

auto CallerConnection::ReserveChunk(std::uint64_t bytes)
    -> std::optional<ErrorKind> {
  if (!budget_.CanReserve(bytes)) {
    return ErrorKind::kBodyBudgetExhausted;
  }
  // The request that is being received is the last one.
  reservations_.back().Grow(bytes);
  return std::nullopt;
}

auto CallerConnection::OnInput(evbuffer* input, const evbuffer_cb_info& info)
    -> void {
  if (info.n_added == 0) {
    return;
  }
  if (rejecting_ || lingering_) {
    DiscardInput();
    return;
  }
  AttachEvhttp();
  const bool was_receiving = scanner_.in_request();
  evbuffer_ptr position{};
  evbuffer_ptr_set(input, &position, info.orig_size, EVBUFFER_PTR_SET);
  auto remaining = info.n_added;
  while (remaining > 0) {
    evbuffer_iovec part{};
    if (evbuffer_peek(input, -1, &position, &part, 1) < 1) {
      break;
    }
    const auto size = std::min<std::size_t>(part.iov_len, remaining);
    const auto violation = scanner_.Consume(
        std::string_view(static_cast<const char*>(part.iov_base), size));
    if (violation) {
      OnViolation(*violation);
      return;
    }
    remaining -= size;
    if (remaining > 0) {
      evbuffer_ptr_set(input, &position, size, EVBUFFER_PTR_ADD);
    }
  }
  if (busy_ && evbuffer_get_length(input) > kMaxPipelinedBytes) {
    bufferevent_disable(bev_, EV_READ);
    return;
  }
  if (!busy_ && !was_receiving && scanner_.in_request()) {
    timer_.Schedule(limits_.receive_timeout);
  }
}

auto CallerConnection::OnViolation(ErrorKind kind) -> void {
  // A complete request before the violation still gets its response. The
  // connection closes after that, and the invalid request gets no response.
  if (busy_ || scanner_.completed() > delivered_requests_) {
    return;
  }
  Reject(kind);
}

auto CallerConnection::Reject(ErrorKind kind) -> void {
  rejecting_ = true;
  DiscardInput();
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
  bufferevent_enable(bev_, EV_READ);
  shutdown(bufferevent_getfd(bev_), SHUT_WR);
  timer_.Schedule(kLingerPeriod);
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
  BodyBudget::Reservation reservation;
  if (!reservations_.empty()) {
    reservation = std::move(reservations_.front());
    reservations_.pop_front();
  }
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request* sent, void* self) {
        static_cast<CallerConnection*>(self)->OnReplySent(sent);
      },
      this);
  auto exchange =
      std::make_unique<CallerExchange>(request, this, std::move(reservation));
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
  bufferevent_enable(bev_, EV_READ);
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
  timer_.Cancel();
  if (auto* exchange = std::exchange(exchange_, nullptr)) {
    exchange->OnConnectionClosed();
  }
  busy_ = false;
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
    timer_.Schedule(scanner_.in_request() ? limits_.receive_timeout
                                          : limits_.idle_timeout);
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
  if (scanner_.in_request()) {
    Reject(ErrorKind::kRequestTooSlow);
    return;
  }
  StartLingering();
}

auto CallerConnection::closes_after_reply() const -> bool {
  return scanner_.violation().has_value() || owner_.closes_after_reply();
}

auto CallerConnection::pending_output_bytes() const -> std::size_t {
  return evbuffer_get_length(bufferevent_get_output(bev_));
}

}  // namespace flamingoyoke
