#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_TASK_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_TASK_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "integration/support/published_fleet.h"
#include "runtime/clock.h"
#include "runtime/mailbox.h"
#include "standins/common/http_client.h"
#include "standins/common/run_task.h"
#include "standins/common/timer_queue.h"

namespace flamingoyoke {
namespace integration {

inline constexpr std::size_t kCallersPerGateway = 4;
inline constexpr auto kCallerPause = std::chrono::milliseconds(30);

struct Interval {
  TimePoint start;
  TimePoint end;
};

// A call that ended. Status 0 means without a complete answer.
struct EndedCall {
  std::string id;
  std::size_t gateway = 0;
  bool is_repeatable = false;
  Interval time;
  int status = 0;
  // Whether a successful answer is the complete one to this call.
  bool is_right = false;
};
using CallMessage = std::variant<EndedCall>;

}  // namespace integration

template <>
inline constexpr MailboxPolicy kMailboxPolicy<integration::EndedCall> =
    MailboxPolicy::kBackPressure;

namespace integration {

// Callers that keep using their connections until a gateway closes them. Posts
// each ended call.
class CallerTask {
 public:
  using Message = standin::StandinMessage;

  CallerTask(std::vector<NamedEndpoint> gateways,
             std::uint64_t seed,
             Mailbox<CallMessage>& ended)
      : gateways_(std::move(gateways)), random_(seed), ended_(ended) {}

  auto Start(TaskContext& context) -> Result<void> {
    context_ = &context;
    timers_.emplace(context.loop());
    client_.emplace(context.loop());
    for (std::size_t i = 0; i < gateways_.size() * kCallersPerGateway; ++i) {
      SendNext(i % gateways_.size());
    }
    return {};
  }
  auto Handle(Message /*message*/) -> Result<void> { return {}; }
  // Waits for the answers to the calls in flight.
  auto Stop(StopMode mode) -> void {
    is_stopping_ = true;
    if (in_flight_ == 0 || mode == StopMode::kHard) {
      context_->Exit();
    }
  }

 private:
  auto SendNext(std::size_t gateway) -> void {
    if (is_stopping_) {
      return;
    }
    ++in_flight_;
    EndedCall call;
    call.id = "c-" + std::to_string(++sent_);
    call.gateway = gateway;
    call.is_repeatable = random_.Below(3) == 0;
    call.time.start = Now();
    const standin::HttpCall request = {
        .server = gateways_[gateway],
        .method = call.is_repeatable ? "GET" : "POST",
        .target = call.is_repeatable ? "/look/1" : "/book/1",
        .headers = {{"X-Request-Id", call.id},
                    {"X-Request-Deadline-Ms", "3000"}},
        .body = call.is_repeatable ? "" : "order",
        .timeout = std::chrono::seconds(5)};
    client_->Send(request, [this, call](const standin::HttpAnswer& answer) {
      OnAnswer(call, answer);
    });
  }

  auto OnAnswer(EndedCall call, const standin::HttpAnswer& answer) -> void {
    --in_flight_;
    const auto signature = answer.Header("X-Gateway-Signature");
    call.time.end = Now();
    call.status = answer.status;
    call.is_right = answer.body == "body of " + call.id &&
                    answer.Header("X-Request-Id") == call.id &&
                    signature.ends_with("." + call.id);
    const auto gateway = call.gateway;
    ended_.Post(std::move(call));
    if (is_stopping_ && in_flight_ == 0) {
      context_->Exit();
      return;
    }
    timers_->After(kCallerPause, [this, gateway] { SendNext(gateway); });
  }

  const std::vector<NamedEndpoint> gateways_;
  Random random_;
  Mailbox<CallMessage>& ended_;
  TaskContext* context_ = nullptr;
  std::optional<standin::TimerQueue> timers_;
  std::optional<standin::HttpClient> client_;
  std::uint64_t sent_ = 0;
  std::size_t in_flight_ = 0;
  bool is_stopping_ = false;
};

}  // namespace integration
}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_TASK_H_
