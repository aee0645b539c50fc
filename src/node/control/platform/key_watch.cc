#include "node/control/platform/key_watch.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <new>
#include <optional>
#include <utility>

namespace flamingoyoke {
namespace {

// The configuration service limits values to a megabyte.
constexpr ev_ssize_t kMaxValueBytes = 1 << 20;
constexpr ev_ssize_t kMaxHeaderBytes = 8 << 10;
// Maximum number of bytes read for one response. Includes interim responses,
// chunk sizes and blank lines, which evhttp does not limit.
constexpr std::size_t kMaxReceivedBytes = 2 << 20;
// The service normally responds within milliseconds; after this timeout it
// counts as unavailable.
constexpr Duration kReadTimeout = std::chrono::seconds(2);
constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;
constexpr int kStatusNotFound = 404;

auto ParseRevision(const char* text) -> std::optional<std::uint64_t> {
  if (text == nullptr) {
    return std::nullopt;
  }
  std::uint64_t revision = 0;
  const auto* end = text + std::strlen(text);
  const auto [rest, error] = std::from_chars(text, end, revision);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return revision;
}

auto CopyBody(evhttp_request* request) -> std::string {
  auto* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

}  // namespace

KeyWatch::KeyWatch(EventLoop& loop,
                   const PlatformConfig& config,
                   std::string key,
                   Random random,
                   OnValue on_value,
                   OnFailure on_failure)
    : loop_(loop),
      config_(config),
      key_(std::move(key)),
      schedule_(random),
      on_value_(std::move(on_value)),
      on_failure_(std::move(on_failure)),
      read_timer_(loop.MakeTimer([this] { Read(); })) {
  read_timer_.Schedule(schedule_.FirstDelay());
}

auto KeyWatch::SetEnabled(bool is_enabled, std::uint64_t known_revision)
    -> void {
  revision_ = std::max(revision_, known_revision);
  const auto was_enabled = std::exchange(is_enabled_, is_enabled);
  if (is_enabled_ && !was_enabled && !is_reading_ && !read_timer_.IsPending()) {
    read_timer_.Schedule(schedule_.FirstDelay());
  }
}

auto KeyWatch::RequestPath() const -> std::string {
  auto path = "/v1/config/" + key_;
  if (has_read_) {
    path += "?wait_after=" + std::to_string(revision_) + "&timeout_ms=" +
            std::to_string(ToMilliseconds(config_.watch_timeout));
  }
  return path;
}

auto KeyWatch::Read() -> void {
  if (has_read_ && !is_enabled_) {
    return;
  }
  // Opens a new connection for each read: a stalled one would delay table
  // updates until its timeout.
  connection_.reset(evhttp_connection_base_new(
      loop_.base(), nullptr, config_.host.c_str(), config_.port));
  if (!connection_) {
    read_timer_.Schedule(schedule_.DelayAfterFailure());
    return;
  }
  evhttp_connection_set_max_body_size(connection_.get(), kMaxValueBytes);
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaderBytes);
  received_bytes_ = 0;
  evbuffer_add_cb(
      bufferevent_get_input(
          evhttp_connection_get_bufferevent(connection_.get())),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        auto* watch = static_cast<KeyWatch*>(self);
        watch->loop_.Invoke([watch, info] { watch->OnInput(info->n_added); });
      },
      this);
  const auto timeout =
      kReadTimeout + (has_read_ ? config_.watch_timeout : Duration::zero());
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeout);
  evhttp_connection_set_timeout(connection_.get(),
                                static_cast<int>(seconds.count()));
  is_reading_ = true;
  auto* request = evhttp_request_new(
      [](evhttp_request* done, void* self) {
        auto* watch = static_cast<KeyWatch*>(self);
        watch->loop_.Invoke([watch, done] { watch->OnRequestDone(done); });
      },
      this);
  if (request == nullptr) {
    throw std::bad_alloc();
  }
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", config_.host.c_str());
  evhttp_add_header(headers, "Connection", "close");
  evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET,
                      RequestPath().c_str());
}

auto KeyWatch::OnInput(std::size_t bytes) -> void {
  received_bytes_ += bytes;
  if (received_bytes_ <= kMaxReceivedBytes || !is_reading_) {
    return;
  }
  // While its callbacks are set, evhttp enables reading again. The connection
  // is freed by the next read.
  auto* bev = evhttp_connection_get_bufferevent(connection_.get());
  bufferevent_setcb(bev, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev, EV_READ | EV_WRITE);
  auto* input = bufferevent_get_input(bev);
  evbuffer_drain(input, evbuffer_get_length(input));
  is_reading_ = false;
  on_failure_("response for key " + key_ + " exceeds " +
              std::to_string(kMaxReceivedBytes) + " bytes");
  read_timer_.Schedule(schedule_.DelayAfterFailure());
}

auto KeyWatch::OnRequestDone(evhttp_request* request) -> void {
  is_reading_ = false;
  const auto succeeded = HandleResponse(request);
  read_timer_.Schedule(succeeded ? schedule_.DelayAfterAnswer()
                                 : schedule_.DelayAfterFailure());
}

auto KeyWatch::HandleResponse(evhttp_request* request) -> bool {
  const auto status =
      request == nullptr ? 0 : evhttp_request_get_response_code(request);
  switch (status) {
    case kStatusOk:
      return HandleValue(request);
    case kStatusNotModified:
      return true;
    case kStatusNotFound:
      has_read_ = true;
      return false;
    default:
      on_failure_("request for key " + key_ + " failed with status " +
                  std::to_string(status));
      return false;
  }
}

auto KeyWatch::HandleValue(evhttp_request* request) -> bool {
  const auto revision = ParseRevision(evhttp_find_header(
      evhttp_request_get_input_headers(request), "X-Revision"));
  if (!revision) {
    on_failure_("response for key " + key_ + " has no valid X-Revision header");
    return false;
  }
  has_read_ = true;
  if (*revision <= revision_) {
    return true;
  }
  if (!on_value_(*revision, CopyBody(request))) {
    return false;
  }
  revision_ = *revision;
  return true;
}

}  // namespace flamingoyoke
