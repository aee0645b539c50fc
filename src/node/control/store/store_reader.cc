#include "node/control/store/store_reader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <new>
#include <utility>

namespace flamingoyoke {
namespace {

// A page holds up to a megabyte of values, encoded in base64.
constexpr ev_ssize_t kMaxResponseBytes = 4 << 20;
constexpr ev_ssize_t kMaxHeaderBytes = 8 << 10;
// Maximum number of bytes read for one response. Includes interim responses,
// chunk sizes and blank lines, which evhttp does not limit.
constexpr std::size_t kMaxReceivedBytes = 6 << 20;

auto CopyBody(evhttp_request* request) -> std::string {
  auto* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

}  // namespace

StoreReader::StoreReader(EventLoop& loop,
                         const StoreConfig& config,
                         std::string era_header)
    : loop_(loop),
      config_(config),
      era_header_(std::move(era_header)),
      timeout_timer_(loop.MakeTimer([this] {
        connection_.reset();
        Complete({.outcome = failure_});
      })) {}

StoreReader::~StoreReader() {
  on_response_ = nullptr;
}

auto StoreReader::EnsureConnection() -> bool {
  if (connection_) {
    return true;
  }
  connection_.reset(evhttp_connection_base_new(
      loop_.base(), nullptr, config_.host.c_str(), config_.port));
  if (!connection_) {
    return false;
  }
  evhttp_connection_set_max_body_size(connection_.get(), kMaxResponseBytes);
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaderBytes);
  evhttp_connection_set_retries(connection_.get(), 0);
  evbuffer_add_cb(
      bufferevent_get_input(
          evhttp_connection_get_bufferevent(connection_.get())),
      [](evbuffer*, const evbuffer_cb_info* info, void* reader) {
        static_cast<StoreReader*>(reader)->OnInput(info->n_added);
      },
      this);
  return true;
}

auto StoreReader::OnInput(std::size_t bytes) -> void {
  received_bytes_ += bytes;
  if (received_bytes_ > kMaxReceivedBytes) {
    // While its callbacks are set, evhttp enables reading again.
    auto* bev = evhttp_connection_get_bufferevent(connection_.get());
    bufferevent_setcb(bev, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(bev, EV_READ | EV_WRITE);
    auto* input = bufferevent_get_input(bev);
    evbuffer_drain(input, evbuffer_get_length(input));
    FailSoon(ReadOutcome::kTooLarge);
  }
}

auto StoreReader::FailSoon(ReadOutcome outcome) -> void {
  failure_ = outcome;
  timeout_timer_.Schedule(Duration::zero());
}

auto StoreReader::Get(const std::string& path,
                      Duration timeout,
                      OnResponse on_response) -> void {
  on_response_ = std::move(on_response);
  failure_ = ReadOutcome::kTimedOut;
  received_bytes_ = 0;
  timeout_timer_.Schedule(timeout);
  if (!EnsureConnection()) {
    return;
  }
  auto* request = evhttp_request_new(
      [](evhttp_request* done, void* self) {
        auto* reader = static_cast<StoreReader*>(self);
        reader->loop_.Invoke([reader, done] { reader->OnRequestDone(done); });
      },
      this);
  if (request == nullptr) {
    throw std::bad_alloc();
  }
  evhttp_request_set_error_cb(
      request, [](evhttp_request_error error, void* reader) {
        if (error == EVREQ_HTTP_EOF || error == EVREQ_HTTP_BUFFER_ERROR) {
          static_cast<StoreReader*>(reader)->failure_ = ReadOutcome::kCut;
        } else if (error == EVREQ_HTTP_DATA_TOO_LONG) {
          static_cast<StoreReader*>(reader)->failure_ = ReadOutcome::kTooLarge;
        }
      });
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    config_.host.c_str());
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET,
                          path.c_str()) != 0) {
    // The timeout reports the failure.
    connection_.reset();
  }
}

auto StoreReader::OnRequestDone(evhttp_request* request) -> void {
  if (!on_response_) {
    return;
  }
  const auto status =
      request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) {
    // The error callback has run before if the connection was established.
    FailSoon(failure_ == ReadOutcome::kTimedOut ? ReadOutcome::kUnreachable
                                                : failure_);
    return;
  }
  const auto* era =
      era_header_.empty()
          ? nullptr
          : evhttp_find_header(evhttp_request_get_input_headers(request),
                               era_header_.c_str());
  Complete({ReadOutcome::kAnswered, status, CopyBody(request),
            era == nullptr ? "" : era});
}

auto StoreReader::Complete(const Response& response) -> void {
  timeout_timer_.Cancel();
  if (const auto on_response = std::exchange(on_response_, nullptr)) {
    on_response(response);
  }
}

}  // namespace flamingoyoke
