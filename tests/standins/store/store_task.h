#ifndef FLAMINGOYOKE_TESTS_STANDINS_STORE_STORE_TASK_H_
#define FLAMINGOYOKE_TESTS_STANDINS_STORE_STORE_TASK_H_

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/name_table.h"
#include "core/result.h"
#include "runtime/task.h"
#include "standins/common/http_exchange.h"
#include "standins/common/http_server.h"
#include "standins/common/run_task.h"
#include "standins/common/timer_queue.h"

namespace flamingoyoke::standin {

// How the control endpoint ends waiting watches.
enum class WatchEnd { kCut, kReset, kSilent };

}  // namespace flamingoyoke::standin

namespace flamingoyoke {

template <>
struct EnumNames<standin::WatchEnd> {
  static constexpr auto kTable = std::to_array<NameEntry<standin::WatchEnd>>({
      {standin::WatchEnd::kCut, "cut"},
      {standin::WatchEnd::kReset, "reset"},
      {standin::WatchEnd::kSilent, "silent"},
  });
};
static_assert(IsDense<standin::WatchEnd>());

}  // namespace flamingoyoke

namespace flamingoyoke::standin {

// What answers name as the era of the store.
struct OwnEra {};
struct NoEra {};
struct FixedEra {
  std::string value;
};
using NamedEra = std::variant<OwnEra, NoEra, FixedEra>;

// The store of the users' platform, with the list and watch calls of its
// protocol. Control:
//   PUT    /control/item?key=K     publishes the body under the key
//   DELETE /control/item?key=K     removes the key; with `compact=1` also drops
//                                  the history before any watch is answered
//   PUT    /control/compact        drops the history of changes
//   PUT    /control/mode?down=1|0  answers reads with 503
//   PUT    /control/watches?end=E  ends the waiting watches: `cut` closes their
//                                  connections, `reset` resets them, `silent`
//                                  sends nothing more on them
//   PUT    /control/lists?cut=1|0  closes the connection of each list call
//   PUT    /control/copy           takes a copy of the data
//   PUT    /control/return         returns to the copy in the next era and
//                                  closes the connections of waiting watches;
//                                  with `away_ms=N` also those of all calls in
//                                  that time, in which control calls go on
//   PUT    /control/era?value=V    names V as the era in answers; names none if
//                                  V is empty, and its own without `value`
//   GET    /control/counters       JSON with the calls so far
class StoreTask {
 public:
  using Message = StandinMessage;

  explicit StoreTask(std::uint16_t port);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  struct Change {
    std::string key;
    // Unset if the key was removed.
    std::optional<std::string> value;
    std::uint64_t revision = 0;
  };
  struct Data {
    std::map<std::string, Change> items;
    std::vector<Change> history;
    std::uint64_t revision = 1;
    // The history no longer holds changes up to this revision.
    std::uint64_t compacted_revision = 0;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    HttpExchange exchange;
  };

  auto OnRequest(HttpExchange exchange) -> void;
  auto OnControl(HttpExchange exchange) -> void;
  auto Answer(HttpExchange& exchange, HttpReply reply) const -> void;
  // Answers with `json`, which is sent with the revision.
  auto AnswerJson(HttpExchange& exchange, nlohmann::json json) const -> void;
  auto OnList(HttpExchange exchange) -> void;
  auto OnWatch(HttpExchange exchange) -> void;
  auto Compact() -> void;
  auto EndWatches(WatchEnd end) -> void;
  // Precondition: a copy was taken.
  auto ReturnToCopy(Duration away) -> void;
  auto Commit(const std::string& key, std::optional<std::string> value) -> void;
  auto AnswerWatches() -> void;
  // Returns whether the changes after revision `after` are not available.
  [[nodiscard]] auto IsGone(std::uint64_t after) const -> bool;
  // Returns the changes under `prefix` with a revision above `after`.
  [[nodiscard]] auto EventsAfter(const std::string& prefix,
                                 std::uint64_t after) const -> nlohmann::json;

  std::uint16_t port_;
  TaskContext* context_ = nullptr;
  Data data_;
  std::optional<Data> copy_;
  std::uint64_t era_ = 1;
  NamedEra named_era_;
  TimePoint away_until_;
  bool is_down_ = false;
  bool cuts_lists_ = false;
  std::uint64_t reads_ = 0;
  std::uint64_t next_watch_ = 0;
  std::optional<HttpServer> server_;
  std::optional<TimerQueue> timers_;
  std::map<std::uint64_t, Watch> watches_;
  // Calls that are never answered. Their connections stay open.
  std::vector<HttpExchange> silent_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_STORE_STORE_TASK_H_
