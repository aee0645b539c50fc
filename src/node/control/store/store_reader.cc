#include "node/control/store/store_reader.h"

#include <event2/buffer.h>

#include <utility>

namespace flamingoyoke {
namespace {

// A page holds a megabyte of values, which are encoded in base64.
constexpr ev_ssize_t kMaxAnswerBytes = 4 << 20;
constexpr ev_ssize_t kMaxHeaderBytes = 8 << 10;

auto CopyBody(evhttp_request* request) -> std::string {
  auto* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

}  // namespace

StoreReader::StoreReader(EventLoop& loop, const StoreConfig& config)
    : loop_(loop), config_(config), timer_(loop.MakeTimer([this] {
        connection_.reset();
        Finish(0, {});
      })) {}

StoreReader::~StoreReader() {
  on_answer_ = nullptr;
}

auto StoreReader::Connect() -> bool {
  if (connection_) {
    return true;
  }
  connection_.reset(evhttp_connection_base_new(
      loop_.base(), nullptr, config_.host.c_str(), config_.port));
  if (!connection_) {
    return false;
  }
  evhttp_connection_set_max_body_size(connection_.get(), kMaxAnswerBytes);
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaderBytes);
  evhttp_connection_set_retries(connection_.get(), 0);
  return true;
}

auto StoreReader::Get(const std::string& target,
                      Duration wait,
                      OnAnswer on_answer) -> void {
  on_answer_ = std::move(on_answer);
  timer_.Schedule(config_.read_timeout + wait);
  if (!Connect()) {
    return;
  }
  auto* request = evhttp_request_new(
      [](evhttp_request* done, void* reader) {
        static_cast<StoreReader*>(reader)->OnDone(done);
      },
      this);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    config_.host.c_str());
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET,
                          target.c_str()) != 0) {
    // The timer reports the failure.
    connection_.reset();
  }
}

auto StoreReader::OnDone(evhttp_request* request) -> void {
  if (!on_answer_) {
    return;
  }
  const auto status =
      request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) {
    // The connection cannot be freed within its own callback: the timer does.
    timer_.Schedule(Duration::zero());
    return;
  }
  Finish(status, CopyBody(request));
}

auto StoreReader::Finish(int status, std::string body) -> void {
  timer_.Cancel();
  if (const auto on_answer = std::exchange(on_answer_, nullptr)) {
    on_answer(status, std::move(body));
  }
}

}  // namespace flamingoyoke
