#include "standins/proxy/relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/overloaded.h"
#include "runtime/clock.h"

namespace flamingoyoke::standin {
namespace {

// Buffered output above which reading from the source is paused.
constexpr std::size_t kMaxBufferedBytes = 262'144;
// The time until TCP has sent lost bytes again, with up to two resends.
constexpr auto kShortestResend = std::chrono::milliseconds(200);
constexpr auto kResendSpread = std::chrono::milliseconds(800);

auto TakeInput(bufferevent* buffer) -> std::string {
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

auto IsHolding(const Fault& fault) -> bool {
  return std::holds_alternative<HoldBytes>(fault);
}

}  // namespace

auto Relay::Make(EventLoop& loop,
                 TimerQueue& timers,
                 evutil_socket_t client,
                 std::uint64_t seed,
                 OnClosed on_closed) -> std::shared_ptr<Relay> {
  std::shared_ptr<Relay> relay(new Relay(timers, seed, std::move(on_closed)));
  relay->client_.reset(
      bufferevent_socket_new(loop.base(), client, BEV_OPT_CLOSE_ON_FREE));
  relay->server_.reset(
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  return relay;
}

Relay::Relay(TimerQueue& timers, std::uint64_t seed, OnClosed on_closed)
    : timers_(timers), random_(seed), on_closed_(std::move(on_closed)) {}

auto Relay::Connect(const NamedEndpoint& server) -> void {
  RegisterCallbacks(client_);
  RegisterCallbacks(server_);
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
  if (flow.is_held_permanently || !client_) {
    return;
  }
  flow.fault = fault;
  UpdateReading(direction);
  ForwardInput(direction);
}

auto Relay::HoldPermanently(Direction direction) -> void {
  SetFault(direction, HoldBytes{});
  FlowOf(direction).is_held_permanently = true;
}

auto Relay::Reset() -> void {
  if (!client_) {
    return;
  }
  ResetOnClose(client_.get());
  ResetOnClose(server_.get());
  Close();
}

auto Relay::ForwardedBytes(Direction direction) const -> std::uint64_t {
  return flows_.at(static_cast<std::size_t>(direction)).forwarded_bytes;
}

auto Relay::OnRead(bufferevent* buffer, void* self) -> void {
  auto* relay = static_cast<Relay*>(self);
  relay->ForwardInput(relay->DirectionFrom(buffer));
}

auto Relay::OnWritten(bufferevent* buffer, void* self) -> void {
  auto* relay = static_cast<Relay*>(self);
  // `buffer` is the source of one direction and the sink of the other one.
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
  relay->FlowOf(direction).is_input_ended = true;
  relay->CloseIfDone(direction);
}

auto Relay::RegisterCallbacks(const Buffer& buffer) -> void {
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

auto Relay::ForwardInput(Direction direction) -> void {
  auto& flow = FlowOf(direction);
  if (IsHolding(flow.fault)) {
    return;
  }
  auto bytes = TakeInput(Source(direction));
  if (bytes.empty()) {
    return;
  }
  std::visit(
      Overloaded{[&](const ForwardBytes&) {
                   ForwardAfter(direction, std::move(bytes), Duration::zero());
                 },
                 [](const HoldBytes&) {},
                 [&](const DelayBytes& fault) {
                   ForwardAfter(direction, std::move(bytes), fault.delay);
                 },
                 [&](const LoseBytes& fault) {
                   const bool is_lost = random_.Unit() < fault.share;
                   ForwardAfter(
                       direction, std::move(bytes),
                       is_lost ? kShortestResend +
                                     std::chrono::milliseconds(
                                         random_.Below(kResendSpread.count()))
                               : Duration::zero());
                 },
                 [&](LimitBytes& fault) {
                   bytes.resize(std::min(bytes.size(), fault.remaining));
                   fault.remaining -= bytes.size();
                   flow.is_input_ended = fault.remaining == 0;
                   ForwardAfter(direction, std::move(bytes), Duration::zero());
                   CloseIfDone(direction);
                 }},
      flow.fault);
}

auto Relay::ForwardNow(Direction direction, std::string bytes) -> void {
  FlowOf(direction).forwarded_bytes += bytes.size();
  bufferevent_write(Sink(direction), bytes.data(), bytes.size());
  UpdateReading(direction);
}

auto Relay::ForwardAfter(Direction direction, std::string bytes, Duration delay)
    -> void {
  auto& flow = FlowOf(direction);
  if (delay == Duration::zero() && flow.delayed_chunks == 0) {
    ForwardNow(direction, std::move(bytes));
    return;
  }
  // Bytes that arrive after a delay was shortened must not overtake bytes that
  // are still delayed.
  flow.last_due = std::max(flow.last_due, Now() + delay);
  ++flow.delayed_chunks;
  timers_.At(flow.last_due,
             [relay = weak_from_this(), direction, bytes = std::move(bytes)] {
               const auto self = relay.lock();
               if (!self || !self->client_) {
                 return;
               }
               --self->FlowOf(direction).delayed_chunks;
               self->ForwardNow(direction, bytes);
               self->CloseIfDone(direction);
             });
}

auto Relay::UpdateReading(Direction direction) -> void {
  const auto waiting =
      evbuffer_get_length(bufferevent_get_output(Sink(direction)));
  if (IsHolding(FlowOf(direction).fault) || waiting > kMaxBufferedBytes) {
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
  if (flow.is_input_ended && is_written) {
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
