#ifndef FLAMINGOYOKE_RUNTIME_RESTART_POLICY_H_
#define FLAMINGOYOKE_RUNTIME_RESTART_POLICY_H_

#include <cstddef>
#include <deque>
#include <variant>

#include "core/result.h"
#include "core/time.h"

namespace flamingoyoke {

// Restarts allowed per child and window; one more fails its supervisor.
struct RestartLimit {
  std::size_t restarts = 5;
  Duration window = std::chrono::seconds(30);
};

// What a supervisor does about a failed child.
struct RestartAfter {
  Duration delay = Duration::zero();
};
struct EscalateFailure {};
using RestartDecision = std::variant<RestartAfter, EscalateFailure>;

// Decides whether and when a failed child is restarted. Failures are counted in
// a sliding window, and each delays the restart longer than the one before it:
// immediate restarts would use up the limit within milliseconds, before a brief
// shortage of threads or descriptors is over. While a child that has never run
// lacks an address or a resource of the system, it is retried without limit,
// because that passes without any change to this process. Not thread-safe.
class RestartPolicy {
 public:
  explicit RestartPolicy(RestartLimit limit) : limit_(limit) {}

  // Records a failure of the child at `now`. `has_run` tells whether a start of
  // the child has ever succeeded: what it lost while it ran counts as a
  // failure, since other VMs still send callers there. `now` must not decrease.
  auto OnFailure(const Error& error, bool has_run, TimePoint now)
      -> RestartDecision;

 private:
  RestartLimit limit_;
  std::deque<TimePoint> failures_;
  // Resources refused so far at the start.
  unsigned refusals_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_RESTART_POLICY_H_
