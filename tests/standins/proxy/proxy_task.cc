#include "standins/proxy/proxy_task.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingoyoke::standin {
namespace {

constexpr int kBadRequest = 400;
constexpr int kBacklog = 512;
constexpr std::array kDirections = {Direction::kToServer, Direction::kToClient};

auto Index(Direction direction) -> std::size_t {
  return static_cast<std::size_t>(direction);
}

}  // namespace

ProxyTask::ProxyTask(ProxyOptions options) : options_(std::move(options)) {}

auto ProxyTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  timers_.emplace(context.loop());
  control_.emplace(context.loop(), [this](HttpExchange exchange) {
    OnControl(std::move(exchange));
  });
  BOOST_LEAF_AUTO(control_port, control_->Bind(options_.control_port));
  BOOST_LEAF_AUTO(port, Listen());
  std::cout << "port " << port << "\ncontrol " << control_port << std::endl;
  return {};
}

auto ProxyTask::Handle(Message /*message*/) -> Result<void> {
  return {};
}

auto ProxyTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto ProxyTask::Listen() -> Result<std::uint16_t> {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options_.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener_.reset(evconnlistener_new_bind(
      context_->loop().base(), &OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  if (!listener_) {
    return Fail(ErrorKind::kSocketFailed,
                "cannot listen on port " + std::to_string(options_.port));
  }
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_.get()),
              reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

auto ProxyTask::OnAccept(evconnlistener* /*listener*/,
                         evutil_socket_t socket,
                         sockaddr* /*address*/,
                         int /*size*/,
                         void* self) -> void {
  static_cast<ProxyTask*>(self)->Accept(socket);
}

auto ProxyTask::Accept(evutil_socket_t socket) -> void {
  evutil_make_socket_nonblocking(socket);
  const auto id = accepted_++;
  auto relay = Relay::Make(context_->loop(), *timers_, socket, id, [this, id] {
    // Deferred, since the relay is still executing when it calls this.
    timers_->After(Duration::zero(), [this, id] {
      const auto node = relays_.extract(id);
      for (const auto direction : kDirections) {
        closed_bytes_.at(Index(direction)) +=
            node.mapped()->ForwardedBytes(direction);
      }
    });
  });
  relays_.emplace(id, relay);
  if (is_refusing_) {
    relay->Reset();
    return;
  }
  for (const auto direction : kDirections) {
    relay->SetFault(direction, default_faults_.at(Index(direction)));
  }
  relay->Connect(options_.server);
}

auto ProxyTask::OnControl(HttpExchange exchange) -> void {
  const auto path = exchange.Path();
  if (path == "/control/counters") {
    exchange.Reply({200, {}, CountersJson()});
    return;
  }
  if (path == "/control/server") {
    const auto server = ParseEndpoint(exchange.Query("address").value_or(""));
    if (server) {
      options_.server = *server;
    }
    exchange.Reply({server ? 200 : kBadRequest, {}, ""});
    return;
  }
  const bool is_known = path == "/control/fault" && OnFault(exchange);
  exchange.Reply({is_known ? 200 : kBadRequest, {}, ""});
}

auto ProxyTask::OnFault(const HttpExchange& exchange) -> bool {
  const auto kind = FromName<FaultKind>(exchange.Query("kind").value_or(""));
  const auto name = exchange.Query("direction");
  const auto direction = FromName<Direction>(name.value_or(""));
  if (!kind || (name && !direction)) {
    return false;
  }
  delay_ = std::chrono::milliseconds(
      static_cast<std::int64_t>(exchange.Number("delay_ms", 0)));
  lost_share_ = exchange.Number("share", 0);
  partial_bytes_ = static_cast<std::size_t>(exchange.Number("bytes", 1));
  Apply(*kind, direction ? std::vector{*direction}
                         : std::vector(kDirections.begin(), kDirections.end()));
  return true;
}

auto ProxyTask::Apply(FaultKind kind, const std::vector<Direction>& directions)
    -> void {
  if (kind == FaultKind::kReset || kind == FaultKind::kRefuse) {
    is_refusing_ = kind == FaultKind::kRefuse;
    ResetAll();
    return;
  }
  is_refusing_ = is_refusing_ && kind != FaultKind::kNone;
  // A closed relay is removed from the map by a timer, so iterating is safe.
  for (const auto direction : directions) {
    switch (kind) {
      case FaultKind::kNone:
        SetDefaultFault(direction, ForwardBytes{});
        break;
      case FaultKind::kCut:
        SetDefaultFault(direction, HoldBytes{});
        break;
      case FaultKind::kDelay:
        SetDefaultFault(direction, DelayBytes{delay_});
        break;
      case FaultKind::kLoss:
        SetDefaultFault(direction, LoseBytes{lost_share_});
        break;
      case FaultKind::kPartial:
        SetDefaultFault(direction, LimitBytes{partial_bytes_});
        break;
      case FaultKind::kPause:
        for (auto& [id, relay] : relays_) {
          relay->SetFault(direction, HoldBytes{});
        }
        break;
      case FaultKind::kSilent:
        for (auto& [id, relay] : relays_) {
          relay->HoldPermanently(direction);
        }
        break;
      case FaultKind::kReset:
      case FaultKind::kRefuse:
        break;
    }
  }
}

auto ProxyTask::SetDefaultFault(Direction direction, const Fault& fault)
    -> void {
  default_faults_.at(Index(direction)) = fault;
  for (auto& [id, relay] : relays_) {
    relay->SetFault(direction, fault);
  }
}

auto ProxyTask::ResetAll() -> void {
  for (auto& [id, relay] : relays_) {
    relay->Reset();
  }
}

auto ProxyTask::CountersJson() const -> std::string {
  auto bytes = closed_bytes_;
  for (const auto& [id, relay] : relays_) {
    for (const auto direction : kDirections) {
      bytes.at(Index(direction)) += relay->ForwardedBytes(direction);
    }
  }
  const nlohmann::json counters = {
      {"accepted", accepted_},
      {"open", relays_.size()},
      {"bytes_to_server", bytes.at(Index(Direction::kToServer))},
      {"bytes_to_client", bytes.at(Index(Direction::kToClient))}};
  return counters.dump() + "\n";
}

}  // namespace flamingoyoke::standin
