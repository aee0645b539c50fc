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
#include "standins/common/timer_queue.h"
#include "standins/proxy/fault.h"

namespace flamingoyoke::standin {

// One proxied connection: a client's socket, a socket to the server and a
// fault for each direction. Used on the thread of its loop only.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  using OnClosed = std::function<void()>;

  // Takes over `client`, a connected socket. `on_closed` is called once, after
  // both sockets are closed, and may destroy the relay.
  // Shared ownership: delayed bytes hold a weak pointer to their relay, which
  // may close before they are due.
  static auto Make(EventLoop& loop,
                   TimerQueue& timers,
                   evutil_socket_t client,
                   OnClosed on_closed) -> std::shared_ptr<Relay>;

  // Connects to `server` and passes bytes on. Called once.
  auto Connect(const NamedEndpoint& server) -> void;
  // Replaces the fault of one direction, unless it is silent.
  auto SetFault(Direction direction, const Fault& fault) -> void;
  // Holds the bytes of one direction for good.
  auto MakeSilent(Direction direction) -> void;
  // Closes both sockets so that their peers see a reset.
  auto Reset() -> void;

  // Bytes passed on in `direction`.
  [[nodiscard]] auto PassedBytes(Direction direction) const -> std::uint64_t;

 private:
  struct BufferDeleter {
    auto operator()(bufferevent* buffer) const -> void {
      bufferevent_free(buffer);
    }
  };
  using Buffer = std::unique_ptr<bufferevent, BufferDeleter>;

  // State of one direction.
  struct Flow {
    Fault fault = PassBytes{};
    bool is_silent = false;
    bool is_ended = false;  // The source has closed.
    std::size_t delayed_chunks = 0;
    TimePoint last_due;
    std::uint64_t passed = 0;
  };

  Relay(TimerQueue& timers, OnClosed on_closed);

  static auto OnRead(bufferevent* buffer, void* self) -> void;
  static auto OnWritten(bufferevent* buffer, void* self) -> void;
  static auto OnEvent(bufferevent* buffer, short events, void* self) -> void;

  auto Watch(const Buffer& buffer) -> void;
  auto FlowOf(Direction direction) -> Flow&;
  auto Source(Direction direction) -> bufferevent*;
  auto Sink(Direction direction) -> bufferevent*;
  // Direction that has `buffer` as its source.
  auto DirectionFrom(const bufferevent* buffer) const -> Direction;

  // Moves what has arrived according to the fault.
  auto Pump(Direction direction) -> void;
  auto PassTo(Direction direction, std::string bytes) -> void;
  auto PassLater(Direction direction, std::string bytes, Duration delay)
      -> void;
  // Reads from the source unless the flow holds or the sink is behind.
  auto UpdateReading(Direction direction) -> void;
  auto CloseIfDone(Direction direction) -> void;
  auto Close() -> void;

  TimerQueue& timers_;
  OnClosed on_closed_;
  Buffer client_;
  Buffer server_;
  std::array<Flow, kEnumSize<Direction>> flows_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_PROXY_RELAY_H_
