#include "node/traffic/caller_exchange.h"

#include <event2/bufferevent.h>

#include <optional>
#include <string>
#include <utility>

#include "node/traffic/caller_connection.h"
#include "node/traffic/error_response.h"

namespace flamingoyoke {
namespace {

auto CopyHead(evhttp_request* request) -> RequestHead {
  return {std::string(ToMethod(evhttp_request_get_command(request))),
          evhttp_request_get_uri(request),
          CopyHeaders(evhttp_request_get_input_headers(request))};
}

// Frees the headers that were copied, but for the one that evhttp reads again.
auto KeepConnectionHeader(evkeyvalq* headers) -> void {
  const char* value = evhttp_find_header(headers, "Connection");
  const auto kept = value == nullptr ? std::optional<std::string>()
                                     : std::optional<std::string>(value);
  evhttp_clear_headers(headers);
  if (kept) {
    evhttp_add_header(headers, "Connection", kept->c_str());
  }
}

}  // namespace

CallerExchange::CallerExchange(evhttp_request* request,
                               CallerConnection* connection,
                               EvbufferPtr body,
                               Held held)
    : request_(request),
      connection_(connection),
      held_(std::move(held)),
      head_(CopyHead(request)),
      body_(std::move(body)) {
  KeepConnectionHeader(evhttp_request_get_input_headers(request));
}

CallerExchange::~CallerExchange() {
  on_disconnect_ = nullptr;
  Abort();
}

auto CallerExchange::caller_host() const -> std::string {
  auto* connection =
      request_ == nullptr ? nullptr : evhttp_request_get_connection(request_);
  if (connection == nullptr) {
    return {};
  }
  char* host = nullptr;
  std::uint16_t port = 0;
  evhttp_connection_get_peer(connection, &host, &port);
  return host == nullptr ? "" : host;
}

auto CallerExchange::Reply(const ResponseHead& head, std::string_view body)
    -> void {
  if (state_ != ReplyState::kWaiting) {
    return;
  }
  AddHeaders(head);
  const auto data = MakeEvbuffer();
  if (head_.method == "HEAD") {
    // A response to HEAD has no body, but evhttp would send one.
    if (!FindHeader(head.headers, "Content-Length")) {
      evhttp_add_header(evhttp_request_get_output_headers(request_),
                        "Content-Length", std::to_string(body.size()).c_str());
    }
  } else {
    evbuffer_add(data.get(), body.data(), body.size());
  }
  state_ = ReplyState::kDone;
  auto* request = request_;
  Detach();
  evhttp_send_reply(request, head.status, head.reason.c_str(), data.get());
}

auto CallerExchange::ReplyError(ErrorKind kind) -> void {
  Reply(MakeErrorHead(kind), MakeErrorBody(kind));
}

auto CallerExchange::StartReply(const ResponseHead& head) -> void {
  if (state_ != ReplyState::kWaiting) {
    return;
  }
  AddHeaders(head);
  state_ = ReplyState::kStreaming;
  evhttp_send_reply_start(request_, head.status, head.reason.c_str());
}

auto CallerExchange::SendBody(evbuffer* data) -> void {
  if (state_ != ReplyState::kStreaming) {
    evbuffer_drain(data, evbuffer_get_length(data));
    return;
  }
  evhttp_send_reply_chunk_with_cb(
      request_, data,
      [](evhttp_connection*, void* self) {
        const auto& drained = static_cast<CallerExchange*>(self)->on_drained_;
        if (drained) {
          drained();
        }
      },
      this);
}

auto CallerExchange::FinishReply() -> void {
  if (state_ != ReplyState::kStreaming) {
    return;
  }
  state_ = ReplyState::kDone;
  auto* request = request_;
  Detach();
  evhttp_send_reply_end(request);
}

auto CallerExchange::Abort() -> void {
  if (state_ == ReplyState::kDone || state_ == ReplyState::kGone) {
    return;
  }
  state_ = ReplyState::kGone;
  auto* connection = connection_;
  Detach();
  connection->CloseAfterFlush();
}

auto CallerExchange::pending_bytes() const -> std::size_t {
  if (connection_ == nullptr) {
    return 0;
  }
  return connection_->pending_output_bytes();
}

auto CallerExchange::OnConnectionClosed() -> void {
  if (evhttp_request_get_connection(request_) == nullptr) {
    // evhttp detaches a request with a pending response and does not free it.
    evhttp_request_free(request_);
  }
  connection_ = nullptr;
  request_ = nullptr;
  state_ = ReplyState::kGone;
  if (const auto on_disconnect = std::exchange(on_disconnect_, nullptr)) {
    on_disconnect();
  }
}

auto CallerExchange::AddHeaders(const ResponseHead& head) -> void {
  auto* headers = evhttp_request_get_output_headers(request_);
  for (const auto& [name, value] : head.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (connection_->closes_after_reply()) {
    evhttp_add_header(headers, "Connection", "close");
  }
}

auto CallerExchange::Detach() -> void {
  connection_->OnExchangeDetached();
  connection_ = nullptr;
  request_ = nullptr;
}

}  // namespace flamingoyoke
