#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CALLER_EXCHANGE_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CALLER_EXCHANGE_H_

#include <event2/http.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "core/error_kind.h"
#include "core/name_table.h"
#include "node/traffic/body_budget.h"
#include "node/traffic/http_message.h"

namespace flamingoyoke {

class CallerConnection;

// How far the answer of a request is.
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

// One request of a caller and its answer. Destroying it before the answer is
// whole closes the caller's connection, so that a cut answer is never taken
// for a whole one. Not thread-safe.
class CallerExchange {
 public:
  // Used by CallerConnection, which must outlive the exchange or call
  // OnConnectionClosed.
  CallerExchange(evhttp_request* request,
                 CallerConnection* connection,
                 BodyBudget::Reservation reservation);
  ~CallerExchange();
  CallerExchange(const CallerExchange&) = delete;
  auto operator=(const CallerExchange&) -> CallerExchange& = delete;

  [[nodiscard]] auto head() const -> const RequestHead& { return head_; }
  // IP address of the caller; empty once it is gone.
  [[nodiscard]] auto caller_host() const -> std::string;
  // The whole body. Holds as long as this object.
  [[nodiscard]] auto body() const -> evbuffer* { return body_.get(); }
  [[nodiscard]] auto state() const -> ReplyState { return state_; }

  // Called once if the caller goes away before its answer is whole; may
  // destroy the exchange.
  auto set_on_disconnect(std::function<void()> on_disconnect) -> void {
    on_disconnect_ = std::move(on_disconnect);
  }
  // Called when all bytes given so far have left the process.
  auto set_on_drained(std::function<void()> on_drained) -> void {
    on_drained_ = std::move(on_drained);
  }

  // Sends a whole answer. Precondition of this and the next four: nothing was
  // sent that contradicts them; all do nothing once the caller is gone.
  auto Reply(const ResponseHead& head, std::string_view body) -> void;
  auto ReplyError(ErrorKind kind) -> void;
  // Begins an answer whose body follows in parts.
  auto StartReply(const ResponseHead& head) -> void;
  // Sends the content of `data` and leaves it empty.
  auto SendBody(evbuffer* data) -> void;
  auto FinishReply() -> void;
  // Closes the connection without an end of the answer.
  auto Abort() -> void;

  // Bytes of the answer that have not left the process.
  [[nodiscard]] auto pending_bytes() const -> std::size_t;

  // Used by CallerConnection.
  auto OnConnectionClosed() -> void;

 private:
  auto AddHeaders(const ResponseHead& head) -> void;
  auto Detach() -> void;

  evhttp_request* request_;
  CallerConnection* connection_;
  BodyBudget::Reservation reservation_;
  RequestHead head_;
  EvbufferPtr body_;
  ReplyState state_ = ReplyState::kWaiting;
  std::function<void()> on_disconnect_;
  std::function<void()> on_drained_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_EXCHANGE_H_
