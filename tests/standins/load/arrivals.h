#ifndef FLAMINGOYOKE_TESTS_STANDINS_LOAD_ARRIVALS_H_
#define FLAMINGOYOKE_TESTS_STANDINS_LOAD_ARRIVALS_H_

#include <cstdint>
#include <vector>

#include "core/time.h"
#include "standins/load/load_options.h"

namespace flamingoyoke::standin {

// One request of the schedule.
struct Arrival {
  Duration at;  // Offset from the start of the run.
  WorkClass work_class;
  double service_ms;
};

// Returns the whole schedule: a Poisson process whose rate follows the swings.
// The same options give the same schedule. Thread-safe.
auto MakeArrivals(const LoadOptions& options) -> std::vector<Arrival>;

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_LOAD_ARRIVALS_H_
