#ifndef FLAMINGOYOKE_NODE_PROCESS_REPORTER_H_
#define FLAMINGOYOKE_NODE_PROCESS_REPORTER_H_

#include <optional>
#include <vector>

#include "core/time.h"
#include "node/messages.h"

namespace flamingoyoke {

// Reports the threads, descriptors, resident memory and socket buffers that
// this process uses. The buffers belong to the kernel and are not part of the
// resident memory. Not thread-safe.
class ProcessReporter {
 public:
  // Returns one sample for each figure that can be read. Reads the system at
  // most every 5 s and returns the previous samples otherwise.
  auto Report(TimePoint now) -> const std::vector<MetricSample>&;

 private:
  std::optional<TimePoint> read_at_;
  std::vector<MetricSample> samples_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_PROCESS_REPORTER_H_
