#ifndef FLAMINGOYOKE_TESTS_STANDINS_TARGET_TARGET_TASK_H_
#define FLAMINGOYOKE_TESTS_STANDINS_TARGET_TARGET_TASK_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/name_table.h"
#include "core/result.h"
#include "core/time.h"
#include "runtime/task.h"
#include "standins/common/http_exchange.h"
#include "standins/common/http_server.h"
#include "standins/common/run_task.h"
#include "standins/common/timer_queue.h"

namespace flamingoyoke::standin {

// How a registered target handles requests.
enum class TargetMode {
  kNormal,
  kError,          // Runs the request and answers 500.
  kReset,          // Runs the request and closes the connection.
  kShed,           // Rejects the request as not executed.
  kHang,           // Runs the request and does not answer.
  kForeign,        // Answers with the id of another request.
  kEarly,          // Answers before it has read the whole of a long body.
  kCut,            // Closes the connection midway in the body of its answer.
  kCutReset,       // Resets the connection midway in the body of its answer.
  kLastAnswer,     // Announces the end of the connection in its answers.
  kNoLength,       // Ends answers with the connection.
  kNoLengthReset,  // Resets the connection of an answer without a length.
  kDropIdle,       // Closes idle connections soon and without notice.
};

}  // namespace flamingoyoke::standin

namespace flamingoyoke {

template <>
struct EnumNames<standin::TargetMode> {
  static constexpr auto kTable = std::to_array<NameEntry<standin::TargetMode>>({
      {standin::TargetMode::kNormal, "normal"},
      {standin::TargetMode::kError, "error"},
      {standin::TargetMode::kReset, "reset"},
      {standin::TargetMode::kShed, "shed"},
      {standin::TargetMode::kHang, "hang"},
      {standin::TargetMode::kForeign, "foreign"},
      {standin::TargetMode::kEarly, "early"},
      {standin::TargetMode::kCut, "cut"},
      {standin::TargetMode::kCutReset, "cut-reset"},
      {standin::TargetMode::kLastAnswer, "last-answer"},
      {standin::TargetMode::kNoLength, "no-length"},
      {standin::TargetMode::kNoLengthReset, "no-length-reset"},
      {standin::TargetMode::kDropIdle, "drop-idle"},
  });
};
static_assert(IsDense<standin::TargetMode>());

}  // namespace flamingoyoke

namespace flamingoyoke::standin {

struct TargetOptions {
  std::uint16_t port = 0;
  std::string id;
  // Service time of requests without X-Work-Ms.
  std::int64_t service_ms = 20;
  // Requests that run at a time, while a few more wait; 0 sets no limit.
  std::size_t slots = 0;
};

// A target of the users' platform. It does not register itself: the test
// publishes its entry in the store. Control:
//   PUT /control/mode?name=<mode>  switches the mode
//   PUT /control/status?value=N    answers requests that it ran in time with N,
//                                  unless the mode has a status of its own
//   GET /control/counters          JSON with the runs of each request id,
//                                  "log" with the times of each run,
//                                  "arrivals" with those of all requests that
//                                  the target did not answer with 421, and
//                                  "early" with the number of early answers.
//                                  An arrival has the names of teams that its
//                                  headers hold as "team"; "with_key" counts
//                                  the requests with a caller's key
class TargetTask {
 public:
  using Message = StandinMessage;

  explicit TargetTask(TargetOptions options);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  struct Arrival {
    std::string id;
    TimePoint at;
    // Values of the header, joined by commas.
    std::string team;
  };
  // A run of a request, which stays in the log.
  struct RunRecord {
    std::string id;
    TimePoint start;
    std::optional<TimePoint> end;
    // Whether the answer was complete and its own; false if the target broke
    // off.
    bool is_sound = false;
    // 0 until the target answers.
    int status = 0;
  };
  // A run without an answer yet.
  struct Running {
    HttpExchange exchange;
    // Whether its work lasts beyond its deadline.
    bool is_late = false;
    bool is_hanging = false;
  };
  struct Waiting {
    HttpExchange exchange;
    TimePoint deadline;
  };

  auto OnRequest(HttpExchange exchange) -> void;
  auto OnControl(HttpExchange exchange) -> void;
  auto Run(HttpExchange exchange) -> void;
  auto Finish(std::size_t number) -> void;
  // Sends the first part of an answer, and ends the connection soon after it.
  auto BreakOff(std::size_t number, HttpExchange exchange) -> void;
  // Returns the answer to a request whose body is incomplete, if the mode has
  // one.
  auto AnswerEarly(const std::string& head) -> std::optional<std::string>;
  [[nodiscard]] auto MakeReply(const std::string& id, bool is_late) const
      -> HttpReply;
  static auto Shed(HttpExchange exchange) -> void;
  // Runs requests that wait, as far as slots are free.
  auto RunWaiting() -> void;
  [[nodiscard]] auto HasFreeSlot() const -> bool;
  // Resets the connections of requests that were not answered.
  auto ResetHanging() -> void;

  const TargetOptions options_;
  TaskContext* context_ = nullptr;
  TargetMode mode_ = TargetMode::kNormal;
  // Status of answers in time.
  int status_ = 200;
  std::uint64_t runs_ = 0;
  std::uint64_t misdirected_ = 0;
  std::map<std::string, int> runs_by_id_;
  std::vector<Arrival> arrivals_;
  std::vector<RunRecord> log_;
  // By index in the log.
  std::map<std::size_t, Running> running_;
  std::deque<Waiting> waiting_;
  // Exchanges whose connection ends soon, by index in the log.
  std::map<std::size_t, HttpExchange> broken_off_;
  // Ids of requests that were answered while their body was incomplete.
  std::set<std::string> answered_early_;
  std::uint64_t early_answers_ = 0;
  std::uint64_t with_key_ = 0;
  std::optional<HttpServer> server_;
  std::optional<TimerQueue> timers_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_TARGET_TARGET_TASK_H_
