#include "standins/proxy/relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "core/overloaded.h"
#include "runtime/clock.h"

namespace flamingoyoke::standin {
namespace {

// Bytes that may wait for a slow sink before the source is no longer read.
constexpr std::size_t kMaxBuffered = 262'144;

auto TakeAll(bufferevent* buffer) -> std::string {
  auto* input = bufferevent_get_input(buffer);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

auto ToAddress(const NamedEndpoint& server) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.endpoint.port);
  inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
  return address;
}

auto SetNoDelay(bufferevent* buffer) -> void {
  const int on = 1;
  setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

auto ResetOnClose(bufferevent* buffer) -> void {
  const linger option{1, 0};
  setsockopt(bufferevent_getfd(buffer), SOL_SOCKET, SO_LINGER, &option,
             sizeof(option));
}

auto Holds(const Fault& fault) -> bool {
  return std::holds_alternative<HoldBytes>(fault);
}

}  // namespace

auto Relay::Make(EventLoop& loop,
                 TimerQueue& timers,
                 evutil_socket_t client,
                 OnClosed on_closed) -> std::shared_ptr<Relay> {
  std::shared_ptr<Relay> relay(new Relay(timers, std::move(on_closed)));
  relay->client_.reset(
      bufferevent_socket_new(loop.base(), client, BEV_OPT_CLOSE_ON_FREE));
  relay->server_.reset(
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  return relay;
}

Relay::Relay(TimerQueue& timers, OnClosed on_closed)
    : timers_(timers), on_closed_(std::move(on_closed)) {}

auto Relay::Connect(const NamedEndpoint& server) -> void {
  Watch(client_);
  Watch(server_);
  SetNoDelay(client_.get());
  const auto address = ToAddress(server);
  if (bufferevent_socket_connect(server_.get(),
                                 reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    Reset();
    return;
  }
  UpdateReading(Direction::kToServer);
  UpdateReading(Direction::kToClient);
}

auto Relay::SetFault(Direction direction, const Fault& fault) -> void {
  auto& flow = FlowOf(direction);
  if (flow.is_silent || !client_) {
    return;
  }
  flow.fault = fault;
  UpdateReading(direction);
  Pump(direction);
}

auto Relay::MakeSilent(Direction direction) -> void {
  SetFault(direction, HoldBytes{});
  FlowOf(direction).is_silent = true;
}

auto Relay::Reset() -> void {
  if (!client_) {
    return;
  }
  ResetOnClose(client_.get());
  ResetOnClose(server_.get());
  Close();
}

auto Relay::PassedBytes(Direction direction) const -> std::uint64_t {
  return flows_.at(static_cast<std::size_t>(direction)).passed;
}

auto Relay::OnRead(bufferevent* buffer, void* self) -> void {
  auto* relay = static_cast<Relay*>(self);
  relay->Pump(relay->DirectionFrom(buffer));
}

auto Relay::OnWritten(bufferevent* buffer, void* self) -> void {
  auto* relay = static_cast<Relay*>(self);
  // The buffer is the sink of the direction opposite to the one it feeds.
  const auto direction = relay->DirectionFrom(buffer) == Direction::kToServer
                             ? Direction::kToClient
                             : Direction::kToServer;
  relay->UpdateReading(direction);
  relay->CloseIfDone(direction);
}

auto Relay::OnEvent(bufferevent* buffer, short events, void* self) -> void {
  auto* relay = static_cast<Relay*>(self);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    SetNoDelay(buffer);
    return;
  }
  if ((events & BEV_EVENT_ERROR) != 0) {
    relay->Reset();
    return;
  }
  const auto direction = relay->DirectionFrom(buffer);
  relay->FlowOf(direction).is_ended = true;
  relay->CloseIfDone(direction);
}

auto Relay::Watch(const Buffer& buffer) -> void {
  bufferevent_setcb(buffer.get(), &OnRead, &OnWritten, &OnEvent, this);
  bufferevent_enable(buffer.get(), EV_WRITE);
}

auto Relay::FlowOf(Direction direction) -> Flow& {
  return flows_.at(static_cast<std::size_t>(direction));
}

auto Relay::Source(Direction direction) -> bufferevent* {
  return direction == Direction::kToServer ? client_.get() : server_.get();
}

auto Relay::Sink(Direction direction) -> bufferevent* {
  return direction == Direction::kToServer ? server_.get() : client_.get();
}

auto Relay::DirectionFrom(const bufferevent* buffer) const -> Direction {
  return buffer == client_.get() ? Direction::kToServer : Direction::kToClient;
}

auto Relay::Pump(Direction direction) -> void {
  auto& flow = FlowOf(direction);
  if (Holds(flow.fault)) {
    return;
  }
  auto bytes = TakeAll(Source(direction));
  if (bytes.empty()) {
    return;
  }
  std::visit(
      Overloaded{[&](const PassBytes&) {
                   PassLater(direction, std::move(bytes), Duration::zero());
                 },
                 [](const HoldBytes&) {},
                 [&](const DelayBytes& fault) {
                   PassLater(direction, std::move(bytes), fault.delay);
                 },
                 [&](LimitBytes& fault) {
                   bytes.resize(std::min(bytes.size(), fault.left));
                   fault.left -= bytes.size();
                   flow.is_ended = fault.left == 0;
                   PassLater(direction, std::move(bytes), Duration::zero());
                   CloseIfDone(direction);
                 }},
      flow.fault);
}

auto Relay::PassTo(Direction direction, std::string bytes) -> void {
  FlowOf(direction).passed += bytes.size();
  bufferevent_write(Sink(direction), bytes.data(), bytes.size());
  UpdateReading(direction);
}

auto Relay::PassLater(Direction direction, std::string bytes, Duration delay)
    -> void {
  auto& flow = FlowOf(direction);
  if (delay == Duration::zero() && flow.delayed_chunks == 0) {
    PassTo(direction, std::move(bytes));
    return;
  }
  // Bytes that come after a delay was shortened must not overtake.
  flow.last_due = std::max(flow.last_due, Now() + delay);
  ++flow.delayed_chunks;
  timers_.At(flow.last_due,
             [relay = weak_from_this(), direction, bytes = std::move(bytes)] {
               const auto self = relay.lock();
               if (!self || !self->client_) {
                 return;
               }
               --self->FlowOf(direction).delayed_chunks;
               self->PassTo(direction, bytes);
               self->CloseIfDone(direction);
             });
}

auto Relay::UpdateReading(Direction direction) -> void {
  const auto waiting =
      evbuffer_get_length(bufferevent_get_output(Sink(direction)));
  if (Holds(FlowOf(direction).fault) || waiting > kMaxBuffered) {
    bufferevent_disable(Source(direction), EV_READ);
  } else {
    bufferevent_enable(Source(direction), EV_READ);
  }
}

auto Relay::CloseIfDone(Direction direction) -> void {
  const auto& flow = FlowOf(direction);
  const bool is_written =
      flow.delayed_chunks == 0 &&
      evbuffer_get_length(bufferevent_get_output(Sink(direction))) == 0;
  if (flow.is_ended && is_written) {
    Close();
  }
}

auto Relay::Close() -> void {
  client_.reset();
  server_.reset();
  if (auto on_closed = std::exchange(on_closed_, nullptr)) {
    on_closed();
  }
}

}  // namespace flamingoyoke::standin
