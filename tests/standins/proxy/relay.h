#ifndef FLAMINGOYOKE_TESTS_STANDINS_PROXY_RELAY_H_
#define FLAMINGOYOKE_TESTS_STANDINS_PROXY_RELAY_H_

#include <event2/bufferevent.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/endpoint.h"
#include "core/name_table.h"
#include "core/random.h"
#include "standins/common/timer_queue.h"
#include "standins/proxy/fault.h"

namespace flamingoyoke::standin {

// One proxied connection: the client socket, the server socket and the fault of
// each direction. Used on the thread of its loop only.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  using OnClosed = std::function<void()>;

  // Takes ownership of `client`, a connected socket. `seed` chooses the bytes
  // that are lost. `on_closed` is called
  // once, after both sockets are closed, and may destroy the relay. Ownership
  // is shared, because delayed bytes hold a weak pointer to their relay, which
  // may be closed before they are due.
  static auto Make(EventLoop& loop,
                   TimerQueue& timers,
                   evutil_socket_t client,
                   std::uint64_t seed,
                   OnClosed on_closed) -> std::shared_ptr<Relay>;

  // Connects to `server` and starts forwarding. Called once.
  auto Connect(const NamedEndpoint& server) -> void;
  // Replaces the fault of one direction, unless it is held permanently.
  auto SetFault(Direction direction, const Fault& fault) -> void;
  // Holds the bytes of one direction until the connection closes.
  auto HoldPermanently(Direction direction) -> void;
  // Closes both sockets so that their peers see a reset.
  auto Reset() -> void;

  // Returns the number of bytes forwarded in `direction`.
  [[nodiscard]] auto ForwardedBytes(Direction direction) const -> std::uint64_t;

 private:
  struct BufferDeleter {
    auto operator()(bufferevent* buffer) const -> void {
      bufferevent_free(buffer);
    }
  };
  using Buffer = std::unique_ptr<bufferevent, BufferDeleter>;

  // State of one direction.
  struct Flow {
    Fault fault = ForwardBytes{};
    bool is_held_permanently = false;
    // The source has closed or the limit of a partial fault is reached.
    bool is_input_ended = false;
    std::size_t delayed_chunks = 0;
    TimePoint last_due;
    std::uint64_t forwarded_bytes = 0;
  };

  Relay(TimerQueue& timers, std::uint64_t seed, OnClosed on_closed);

  static auto OnRead(bufferevent* buffer, void* self) -> void;
  static auto OnWritten(bufferevent* buffer, void* self) -> void;
  static auto OnEvent(bufferevent* buffer, short events, void* self) -> void;

  auto RegisterCallbacks(const Buffer& buffer) -> void;
  auto FlowOf(Direction direction) -> Flow&;
  auto Source(Direction direction) -> bufferevent*;
  auto Sink(Direction direction) -> bufferevent*;
  // Direction that has `buffer` as its source.
  auto DirectionFrom(const bufferevent* buffer) const -> Direction;

  // Handles the received bytes as the fault of the direction requires.
  auto ForwardInput(Direction direction) -> void;
  auto ForwardNow(Direction direction, std::string bytes) -> void;
  auto ForwardAfter(Direction direction, std::string bytes, Duration delay)
      -> void;
  // Pauses reading from the source while the fault holds bytes or the output
  // buffer of the sink is full; resumes it otherwise.
  auto UpdateReading(Direction direction) -> void;
  auto CloseIfDone(Direction direction) -> void;
  auto Close() -> void;

  TimerQueue& timers_;
  Random random_;
  OnClosed on_closed_;
  Buffer client_;
  Buffer server_;
  std::array<Flow, kEnumSize<Direction>> flows_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_PROXY_RELAY_H_
