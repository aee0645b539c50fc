#include "decision/platform/store_availability.h"

#include <criterion/criterion.h>

#include <chrono>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TimePoint kLongAgo = kStart - std::chrono::seconds(60);

// Returns the availability at a VM that knows of an answer at the start.
auto Available() -> StoreAvailability {
  StoreAvailability availability;
  availability.OnStarted({kStart, kLongAgo});
  return availability;
}

}  // namespace

// Guards against keeping removed targets because readers were cut off, turned
// away or lost while the store answered other VMs.
Test(store_availability, lost_readers_are_no_outage) {
  auto availability = Available();
  const auto answered = kStart + milliseconds(2999);
  availability.OnAnswered(answered, answered);
  cr_assert(availability.since() == kLongAgo);
  cr_assert_not(availability.was_interrupted());
}

// Guards against taking targets for removed whose entries expired while no VM
// was answered, whether this VM read the store before or reads it since.
Test(store_availability, a_time_without_answers_is_an_outage) {
  auto availability = Available();
  auto back = kStart + StoreAvailability::kShortestOutage;
  availability.OnAnswered(back, back);
  cr_assert(availability.since() == back);
  cr_assert(availability.was_interrupted());
  back += StoreAvailability::kShortestOutage;
  availability.OnAnswered(back, back);
  cr_assert(availability.since() == back);
}

// Guards against an outage that is counted too short: the store may answer a
// read after it that was requested during it, and a read before it may have
// been answered long before its answer was seen.
Test(store_availability, counts_from_a_request_to_an_answer) {
  auto availability = Available();
  availability.OnAnswered(kStart, kStart + milliseconds(600));
  cr_assert(availability.since() == kLongAgo);
  const auto back = kStart + StoreAvailability::kShortestOutage;
  availability.OnAnswered(back - milliseconds(500), back);
  cr_assert(availability.since() == back);
}

// Guards against taking targets for removed right after the start of a VM that
// knows of no answer, or of no time for which the store was available.
Test(store_availability, an_unknown_past_is_an_outage) {
  for (const auto& known :
       {StoreContact{}, StoreContact{kStart, {}}, StoreContact{{}, kLongAgo}}) {
    auto availability = Available();
    availability.OnStarted(known);
    availability.OnAnswered(kStart, kStart);
    cr_assert(availability.since() == kStart);
  }
}

// Guards against an outage that ends again with each answer.
Test(store_availability, an_outage_ends_with_its_first_answer) {
  auto availability = Available();
  const auto back = kStart + milliseconds(9000);
  for (int ms = 0; ms <= 5000; ms += 500) {
    const auto answered = back + milliseconds(ms);
    availability.OnAnswered(answered, answered);
    cr_assert(availability.since() == back);
  }
}

}  // namespace flamingoyoke
