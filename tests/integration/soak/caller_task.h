#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_TASK_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_TASK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/random.h"
#include "integration/soak/caller_connection.h"
#include "integration/soak/ended_call.h"
#include "integration/soak/soak_settings.h"
#include "runtime/task.h"
#include "standins/common/http_client.h"
#include "standins/common/timer_queue.h"

namespace flamingoyoke {
namespace integration {

// Host of all routes of a soak.
inline constexpr const char* kSoakHost = "soak.example";

// Where callers reach a gateway.
struct GatewayEndpoints {
  NamedEndpoint front;
  NamedEndpoint directory;
};

// Resets the connections of all callers to a gateway.
struct ResetCallers {
  std::size_t gateway = 0;
};
// Multiplies the rate of requests.
struct SetRate {
  double factor = 1;
};
using CallerMessage = std::variant<ResetCallers, SetRate>;

}  // namespace integration

template <>
inline constexpr MailboxPolicy kMailboxPolicy<integration::ResetCallers> =
    MailboxPolicy::kBackPressure;
template <>
inline constexpr MailboxPolicy kMailboxPolicy<integration::SetRate> =
    MailboxPolicy::kBackPressure;

namespace integration {

// Callers with a connection each, which they keep until the gateway closes it,
// also while its address is missing from the directory. Some use old answers of
// the directory, so that they connect to gateways that are stopping, and some
// close their connection while a request runs. Posts each ended call.
class CallerTask {
 public:
  using Message = CallerMessage;

  // `settings` and `ended` must outlive the task.
  CallerTask(const SoakSettings& settings,
             std::vector<GatewayEndpoints> gateways,
             std::uint64_t seed,
             Mailbox<CallMessage>& ended);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  // Waits for the answers to the calls in flight.
  auto Stop(StopMode mode) -> void;

 private:
  struct Caller {
    std::size_t route = 0;
    std::size_t team = 0;
    std::string key;
    // Index of the addresses that it uses.
    std::size_t book = 0;
    std::size_t gateway = 0;
    bool is_kept = false;
    bool has_sent = false;
    std::unique_ptr<CallerConnection> connection;
    std::deque<EndedCall> waiting;
    // The part of a request that is sent after a delay of the link.
    std::string unsent;
  };

  // Requests the addresses of `book` now and again after their time.
  auto Refresh(std::size_t book) -> void;
  // Removes an address that failed from the book of old ones.
  auto ForgetOldAddress(std::size_t gateway) -> void;
  auto OnAddresses(std::size_t book, const std::string& body) -> void;

  // Ends the connection after `time` if request `id` is still unanswered.
  auto GiveUpAfter(Duration time, std::size_t caller, std::string id) -> void;

  auto SendLater(std::size_t caller) -> void;
  auto Send(std::size_t caller) -> void;
  auto Connect(std::size_t caller) -> bool;
  // Sends one part of `bytes` now and the other one after a delay.
  auto SendInParts(std::size_t caller, const std::string& bytes) -> void;
  auto MakeRequest(const EndedCall& call) -> std::string;
  auto PickWork(const RouteSettings& route) -> Duration;
  // Returns how long a caller waits for its answers.
  auto PickPatience(const RouteSettings& route) -> Duration;

  auto OnAnswer(std::size_t caller, const standin::HttpAnswer& answer) -> void;
  // Ends the connection and all calls that wait on it.
  auto EndConnection(std::size_t caller, CallEnd end) -> void;
  auto Post(EndedCall call, CallEnd end) -> void;
  auto Apply(const ResetCallers& message) -> void;
  auto Apply(const SetRate& message) -> void;
  auto ExitIfIdle() -> void;

  const SoakSettings& settings_;
  const std::vector<GatewayEndpoints> gateways_;
  Random random_;
  Mailbox<CallMessage>& ended_;
  TaskContext* context_ = nullptr;
  std::optional<standin::TimerQueue> timers_;
  std::optional<standin::HttpClient> directory_;
  // Indexes of gateways: a book that is refreshed in time, a stale one, and one
  // that is refreshed when all its addresses have failed.
  std::array<std::vector<std::size_t>, 3> books_;
  std::vector<Caller> callers_;
  // Connections that ended. Freed by a timer, as they must not be freed inside
  // their own callbacks.
  std::vector<std::unique_ptr<CallerConnection>> closing_;
  double rate_factor_ = 1;
  std::uint64_t sent_ = 0;
  std::size_t in_flight_ = 0;
  bool is_stopping_ = false;
};

}  // namespace integration
}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_TASK_H_
