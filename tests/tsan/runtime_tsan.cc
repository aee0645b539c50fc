// Task and mailbox scenarios for ThreadSanitizer. Exits with 0 if all pass; the
// sanitizer ends the program on a data race.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "core/overloaded.h"
#include "runtime/mailbox.h"
#include "runtime/supervisor.h"
#include "runtime/task_host.h"

namespace flamingoyoke {
namespace {

struct Number {
  int value = 0;
};
struct FailNow {};
struct Latest {
  int value = 0;
};
using NumberMessage = std::variant<Number, FailNow, Latest>;

}  // namespace

template <>
inline constexpr MailboxPolicy kMailboxPolicy<Number> =
    MailboxPolicy::kBackPressure;
template <>
inline constexpr MailboxPolicy kMailboxPolicy<Latest> =
    MailboxPolicy::kCoalesce;

namespace {

// Sums numbers without a lock: only the task's own thread accesses the sum.
class SumTask {
 public:
  using Message = NumberMessage;

  SumTask(std::atomic<long>& published, std::atomic<int>& starts)
      : published_(published), starts_(starts) {}

  auto Start(TaskContext& context) -> Result<void> {
    context_ = &context;
    ++starts_;
    return {};
  }

  auto Handle(Message message) -> Result<void> {
    return std::visit(Overloaded{
                          [this](const Number& number) -> Result<void> {
                            sum_ += number.value;
                            published_ += number.value;
                            return {};
                          },
                          [](const FailNow&) -> Result<void> {
                            return Fail(ErrorKind::kInternal,
                                        "failure requested by the test");
                          },
                          [](const Latest&) -> Result<void> { return {}; },
                      },
                      message);
  }

  auto Stop(StopMode) -> void { context_->Exit(); }

 private:
  std::atomic<long>& published_;
  std::atomic<int>& starts_;
  long sum_ = 0;
  TaskContext* context_ = nullptr;
};

auto Check(bool condition, const char* what) -> bool {
  std::printf("%s: %s\n", condition ? "passed" : "FAILED", what);
  return condition;
}

template <typename Condition>
auto WaitFor(Condition condition) -> bool {
  const auto limit = Now() + std::chrono::seconds(60);
  while (!condition()) {
    if (Now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

// Posts 1 to `count`, retrying whenever the mailbox refuses a message.
auto PostAll(Mailbox<NumberMessage>& mailbox, int count) -> void {
  for (int i = 1; i <= count; ++i) {
    while (mailbox.Post(Number{i}) == PostResult::kRefused) {
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
    mailbox.Post(Latest{i});
  }
}

// Concurrent senders lose and duplicate no message under back-pressure.
auto ConcurrentSendersOneTask() -> bool {
  constexpr int kSenders = 4;
  constexpr int kMessages = 500;
  std::atomic<long> sum = 0;
  std::atomic<int> starts = 0;
  std::atomic<bool> has_exited = false;
  Mailbox<NumberMessage> mailbox(16);
  TaskHost<SumTask> host(
      "sum", mailbox, [&] { return std::make_unique<SumTask>(sum, starts); });
  host.Start([&](const std::optional<Error>&) { has_exited = true; });
  std::vector<std::thread> senders;
  senders.reserve(kSenders);
  for (int i = 0; i < kSenders; ++i) {
    senders.emplace_back([&] { PostAll(mailbox, kMessages); });
  }
  for (auto& sender : senders) {
    sender.join();
  }
  const long expected = kSenders * (kMessages * (kMessages + 1L) / 2);
  const auto is_complete = WaitFor([&] { return sum == expected; });
  host.RequestStop(StopMode::kGraceful);
  const auto has_stopped = WaitFor([&] { return has_exited.load(); });
  host.Join();
  return Check(is_complete && has_stopped,
               "concurrent senders lose and duplicate no message");
}

// A nested supervisor restarts its child while messages arrive, and stops.
auto NestedSupervisorRestarts(TaskPlacement placement) -> bool {
  using Inner = Supervisor<SumTask>;
  using Outer = Supervisor<Inner>;
  std::atomic<long> sum = 0;
  std::atomic<int> starts = 0;
  std::atomic<bool> has_exited = false;
  Mailbox<NumberMessage> leaf(64);
  Mailbox<SupervisorMessage> inner_mailbox(8);
  Mailbox<SupervisorMessage> outer_mailbox(8);
  const RestartLimit limit{.restarts = 2, .window = std::chrono::seconds(60)};
  const auto ignore = [](const SupervisorEvent&) {};
  const auto make_inner = [&] {
    std::vector<Inner::Child> children;
    children.emplace_back(std::make_unique<TaskHost<SumTask>>(
        "sum", leaf, [&] { return std::make_unique<SumTask>(sum, starts); },
        placement));
    return std::make_unique<Inner>(inner_mailbox, std::move(children), limit,
                                   ignore);
  };
  TaskHost<Outer> host("outer", outer_mailbox, [&] {
    std::vector<Outer::Child> children;
    children.emplace_back(std::make_unique<TaskHost<Inner>>(
        "inner", inner_mailbox, make_inner, placement));
    return std::make_unique<Outer>(outer_mailbox, std::move(children), limit,
                                   ignore);
  });
  host.Start([&](const std::optional<Error>&) { has_exited = true; });
  // The third failure exceeds the limit of the inner supervisor, so the outer
  // one restarts the whole inner tree.
  bool has_restarted = true;
  for (int failure = 1; failure <= 4; ++failure) {
    has_restarted = has_restarted && WaitFor([&] { return starts == failure; });
    leaf.Post(FailNow{});
  }
  has_restarted = has_restarted && WaitFor([&] { return starts == 5; });
  leaf.Post(Number{1});
  const auto is_alive = WaitFor([&] { return sum == 1; });
  host.RequestStop(StopMode::kGraceful);
  const auto has_stopped = WaitFor([&] { return has_exited.load(); });
  host.Join();
  return Check(
      has_restarted && is_alive && has_stopped,
      ("a nested supervisor restarts its children and stops, placement " +
       std::string(ToName(placement)))
          .c_str());
}

}  // namespace
}  // namespace flamingoyoke

auto main() -> int {
  const auto first = flamingoyoke::ConcurrentSendersOneTask();
  bool restarts = true;
  for (const auto placement : {flamingoyoke::TaskPlacement::kOwnThread,
                               flamingoyoke::TaskPlacement::kSupervisorLoop}) {
    restarts = flamingoyoke::NestedSupervisorRestarts(placement) && restarts;
  }
  return first && restarts ? 0 : 1;
}
