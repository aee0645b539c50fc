#ifndef FLAMINGOYOKE_TESTS_UNIT_DECISION_EVENT_QUEUE_H_
#define FLAMINGOYOKE_TESTS_UNIT_DECISION_EVENT_QUEUE_H_

#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace flamingoyoke {

// Priority queue of the events of a simulation in virtual time. Events of the
// same time come out in the order they were added, so a run depends only on its
// seed.
template <typename Event>
class EventQueue {
 public:
  auto Push(TimePoint at, Event event) -> void {
    entries_.push({at, ++sequence_, std::move(event)});
  }

  [[nodiscard]] auto empty() const -> bool { return entries_.empty(); }

  // Returns the time of the next event. The queue must not be empty.
  [[nodiscard]] auto NextTime() const -> TimePoint { return entries_.top().at; }

  // Removes and returns the next event. The queue must not be empty.
  auto Pop() -> Event {
    auto event = entries_.top().event;
    entries_.pop();
    return event;
  }

 private:
  struct Entry {
    TimePoint at{};
    std::uint64_t sequence = 0;
    Event event{};

    auto operator<(const Entry& other) const -> bool {
      return std::pair(other.at, other.sequence) < std::pair(at, sequence);
    }
  };

  std::priority_queue<Entry> entries_;
  std::uint64_t sequence_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_DECISION_EVENT_QUEUE_H_
