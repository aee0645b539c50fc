#ifndef FLAMINGOYOKE_TESTS_STANDINS_PROXY_PROXY_TASK_H_
#define FLAMINGOYOKE_TESTS_STANDINS_PROXY_PROXY_TASK_H_

#include <event2/listener.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/endpoint.h"
#include "core/result.h"
#include "runtime/task.h"
#include "standins/common/http_server.h"
#include "standins/common/run_task.h"
#include "standins/common/timer_queue.h"
#include "standins/proxy/fault.h"
#include "standins/proxy/relay.h"

namespace flamingoyoke::standin {

struct ProxyOptions {
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
  NamedEndpoint server;
};

// A TCP proxy that injects faults. Control, on a separate port:
//   PUT /control/fault?kind=<kind>&direction=<direction>   see fault.h; without
//       a direction it applies to both; `delay_ms` for delay, `bytes` for
//       partial, `share` for loss
//   PUT /control/server?address=<ip:port>   changes the server of new
//       connections
//   GET /control/counters                   JSON
class ProxyTask {
 public:
  using Message = StandinMessage;

  explicit ProxyTask(ProxyOptions options);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  struct ListenerDeleter {
    auto operator()(evconnlistener* listener) const -> void {
      evconnlistener_free(listener);
    }
  };

  static auto OnAccept(evconnlistener* listener,
                       evutil_socket_t socket,
                       sockaddr* address,
                       int size,
                       void* self) -> void;

  auto Listen() -> Result<std::uint16_t>;
  auto Accept(evutil_socket_t socket) -> void;
  auto OnControl(HttpExchange exchange) -> void;
  auto OnFault(const HttpExchange& exchange) -> bool;
  auto Apply(FaultKind kind, const std::vector<Direction>& directions) -> void;
  // Sets the fault of one direction for all open and new connections.
  auto SetDefaultFault(Direction direction, const Fault& fault) -> void;
  auto ResetAll() -> void;
  [[nodiscard]] auto CountersJson() const -> std::string;

  ProxyOptions options_;
  TaskContext* context_ = nullptr;
  // Faults that new connections start with.
  std::array<Fault, kEnumSize<Direction>> default_faults_;
  bool is_refusing_ = false;
  Duration delay_ = Duration::zero();
  std::size_t partial_bytes_ = 0;
  double lost_share_ = 0;
  std::uint64_t accepted_ = 0;
  std::array<std::uint64_t, kEnumSize<Direction>> closed_bytes_{};
  std::optional<HttpServer> control_;
  std::optional<TimerQueue> timers_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  std::map<std::uint64_t, std::shared_ptr<Relay>> relays_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_PROXY_PROXY_TASK_H_
