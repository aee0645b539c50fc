#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CALLER_EXCHANGE_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CALLER_EXCHANGE_H_

#include <event2/http.h>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/error_kind.h"
#include "core/name_table.h"
#include "node/traffic/body_budget.h"
#include "node/traffic/caller_memory.h"
#include "node/traffic/http_message.h"

namespace flamingoyoke {

class CallerConnection;

// Progress of the response to a request.
enum class ReplyState { kWaiting, kStreaming, kDone, kGone };

template <>
struct EnumNames<ReplyState> {
  static constexpr auto kTable = std::to_array<NameEntry<ReplyState>>({
      {ReplyState::kWaiting, "waiting"},
      {ReplyState::kStreaming, "streaming"},
      {ReplyState::kDone, "done"},
      {ReplyState::kGone, "gone"},
  });
};
static_assert(IsDense<ReplyState>());

// A request of a caller and its response. Destroying it before the response is
// complete closes the caller's connection, so that the caller cannot mistake a
// truncated response for a complete one. Not thread-safe.
class CallerExchange {
 public:
  // What is held for the request.
  struct Held {
    BodyBudget::Reservation reservation;
    std::unique_ptr<CallerMemory::Share> memory;
  };

  // Created by CallerConnection, which must outlive the exchange or call
  // OnConnectionClosed().
  CallerExchange(evhttp_request* request,
                 CallerConnection* connection,
                 EvbufferPtr body,
                 Held held);
  ~CallerExchange();
  CallerExchange(const CallerExchange&) = delete;
  auto operator=(const CallerExchange&) -> CallerExchange& = delete;

  [[nodiscard]] auto head() const -> const RequestHead& { return head_; }
  // IP address of the caller; empty after it disconnected.
  [[nodiscard]] auto caller_host() const -> std::string;
  // The complete request body. Valid during the lifetime of the exchange.
  [[nodiscard]] auto body() const -> evbuffer* { return body_.get(); }
  [[nodiscard]] auto state() const -> ReplyState { return state_; }

  // Called once if the caller disconnects before the response is complete. The
  // callback may destroy the exchange.
  auto set_on_disconnect(std::function<void()> on_disconnect) -> void {
    on_disconnect_ = std::move(on_disconnect);
  }
  // Called when the output buffer of the connection is empty.
  auto set_on_drained(std::function<void()> on_drained) -> void {
    on_drained_ = std::move(on_drained);
  }

  // Sends a complete response. This function and the next four have no effect
  // in a state that does not allow them, for example after the caller
  // disconnected.
  auto Reply(const ResponseHead& head, std::string_view body) -> void;
  auto ReplyError(ErrorKind kind) -> void;
  // Starts a response whose body is sent in chunks.
  auto StartReply(const ResponseHead& head) -> void;
  // Moves the content of `data` to the response.
  auto SendBody(evbuffer* data) -> void;
  auto FinishReply() -> void;
  // Closes the connection without completing the response.
  auto Abort() -> void;

  // Bytes that wait in the output buffer of the connection.
  [[nodiscard]] auto pending_bytes() const -> std::size_t;

  // Called by CallerConnection.
  auto OnConnectionClosed() -> void;

 private:
  auto AddHeaders(const ResponseHead& head) -> void;
  auto Detach() -> void;

  evhttp_request* request_;
  CallerConnection* connection_;
  Held held_;
  RequestHead head_;
  EvbufferPtr body_;
  ReplyState state_ = ReplyState::kWaiting;
  std::function<void()> on_disconnect_;
  std::function<void()> on_drained_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_EXCHANGE_H_
