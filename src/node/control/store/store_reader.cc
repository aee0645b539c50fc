#include "node/control/store/store_reader.h"

#include <event2/buffer.h>

#include <utility>

namespace flamingoyoke {
namespace {

// A page holds up to a megabyte of values, encoded in base64.
constexpr ev_ssize_t kMaxResponseBytes = 4 << 20;
constexpr ev_ssize_t kMaxHeaderBytes = 8 << 10;

auto CopyBody(evhttp_request* request) -> std::string {
  auto* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

}  // namespace

StoreReader::StoreReader(EventLoop& loop, const StoreConfig& config)
    : loop_(loop), config_(config), timeout_timer_(loop.MakeTimer([this] {
        connection_.reset();
        Complete(0, {});
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
  return true;
}

auto StoreReader::Get(const std::string& path,
                      Duration wait,
                      OnResponse on_response) -> void {
  on_response_ = std::move(on_response);
  timeout_timer_.Schedule(config_.read_timeout + wait);
  if (!EnsureConnection()) {
    return;
  }
  auto* request = evhttp_request_new(
      [](evhttp_request* done, void* reader) {
        static_cast<StoreReader*>(reader)->OnRequestDone(done);
      },
      this);
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
    // The connection must not be freed within its own callback, so the timer
    // callback frees it.
    timeout_timer_.Schedule(Duration::zero());
    return;
  }
  Complete(status, CopyBody(request));
}

auto StoreReader::Complete(int status, std::string body) -> void {
  timeout_timer_.Cancel();
  if (const auto on_response = std::exchange(on_response_, nullptr)) {
    on_response(status, std::move(body));
  }
}

}  // namespace flamingoyoke
