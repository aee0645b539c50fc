#ifndef FLAMINGOYOKE_DECISION_DISPATCH_WAIT_ESTIMATE_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_WAIT_ESTIMATE_H_

#include <cstddef>
#include <cstdint>

#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/dispatch/service_times.h"

namespace flamingoyoke {

// Quantile of the service time that must fit between the estimated start and
// the deadline of a request that has to wait. With the mean instead, a third of
// the requests that start last would miss their deadline and waste their slot.
inline constexpr double kAdmissionQuantile = 0.95;

// Estimates how long a request of `work_class` waits behind `ahead` others for
// one of `slots` busy slots. Returns zero while no service time is known.
// Thread-safe.
inline auto EstimateQueueWait(const ServiceTimes& times,
                              WorkClass work_class,
                              std::size_t ahead,
                              std::uint32_t slots) -> Duration {
  const auto mean = times.Mean(work_class);
  return mean * static_cast<Duration::rep>(ahead + 1) /
         static_cast<Duration::rep>(slots == 0 ? 1 : slots);
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_WAIT_ESTIMATE_H_
