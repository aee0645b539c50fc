#include "node/traffic/caller_connection.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "node/traffic/error_response.h"

namespace flamingoyoke {
namespace {

// Bytes of pipelined requests that are buffered while a response is pending.
// Reading stops above this and resumes after the response.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;

// Lingering close: time for the caller to read an error response and close. An
// immediate close with unread input would reset the connection and discard the
// response.
constexpr Duration kRejectLinger = std::chrono::seconds(1);

// Callers send their first request right after connecting; one lost packet is
// retransmitted within this time.
constexpr Duration kFirstRequestWait = std::chrono::milliseconds(500);

auto MakeEvent(EventLoop& loop, event_callback_fn callback, void* argument)
    -> event* {
  return event_new(loop.base(), -1, 0, callback, argument);
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
      scanner_(limits.request,
               [this](const ScannedHead& head) { return CheckHead(head); }),
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
  const auto bytes = head.chunked ? allowance : head.content_length.value_or(0);
  if (bytes > allowance) {
    return ErrorKind::kRequestTooLarge;
  }
  if (!budget_.CanReserve(bytes)) {
    return ErrorKind::kBodyBudgetExhausted;
  }
  reservations_.push_back(budget_.Reserve(bytes));
  return checked;
}

auto CallerConnection::OnInput(evbuffer* input, const evbuffer_cb_info& info)
    -> void {
  if (info.n_added == 0 || rejecting_) {
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
  bufferevent_setcb(
      bev_,
      [](bufferevent* bev, void*) {
        auto* input = bufferevent_get_input(bev);
        evbuffer_drain(input, evbuffer_get_length(input));
      },
      [](bufferevent*, void* self) {
        static_cast<CallerConnection*>(self)->OnRejectSent();
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

auto CallerConnection::OnRejectSent() -> void {
  shutdown(bufferevent_getfd(bev_), SHUT_WR);
  timer_.Schedule(kRejectLinger);
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
      [](evhttp_request*, void* self) {
        static_cast<CallerConnection*>(self)->OnReplySent();
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
  bufferevent_disable(bev_, EV_READ);
  if (pending_output_bytes() == 0) {
    ScheduleClose();
    return;
  }
  bufferevent_setcb(
      bev_, nullptr,
      [](bufferevent*, void* self) {
        static_cast<CallerConnection*>(self)->ScheduleClose();
      },
      [](bufferevent*, short, void* self) {
        static_cast<CallerConnection*>(self)->ScheduleClose();
      },
      this);
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

auto CallerConnection::OnReplySent() -> void {
  busy_ = false;
  timer_.Schedule(scanner_.in_request() ? limits_.receive_timeout
                                        : limits_.idle_timeout);
  owner_.on_reply_sent(this);
}

auto CallerConnection::OnTimer() -> void {
  if (connection_ == nullptr || busy_) {
    return;
  }
  if (scanner_.in_request() && !rejecting_) {
    Reject(ErrorKind::kRequestTooSlow);
    return;
  }
  Close();
}

auto CallerConnection::closes_after_reply() const -> bool {
  return scanner_.violation().has_value() || owner_.closes_after_reply();
}

auto CallerConnection::pending_output_bytes() const -> std::size_t {
  return evbuffer_get_length(bufferevent_get_output(bev_));
}

}  // namespace flamingoyoke
