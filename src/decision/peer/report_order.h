#ifndef FLAMINGOYOKE_DECISION_PEER_REPORT_ORDER_H_
#define FLAMINGOYOKE_DECISION_PEER_REPORT_ORDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "core/ids.h"
#include "core/time.h"

namespace flamingoyoke {

// Tells the newest of a sender's reports from older copies that were delayed on
// their way. Not thread-safe.
class ReportOrder {
 public:
  // A lower number is accepted again after this time without a higher one. Its
  // sender may have restarted, and what the higher one said is outdated by
  // then.
  static constexpr Duration kTrustTime = std::chrono::seconds(1);

  // Records the report `sequence` of `sender` and returns whether it is the
  // newest one. `now` must not decrease. Nodes that don't number their reports
  // send 0, which always counts as the newest.
  auto Accept(const VmId& sender, std::uint64_t sequence, TimePoint now)
      -> bool;

 private:
  // Number of senders above which those without recent reports are dropped.
  static constexpr std::size_t kMaxSenders = 64;

  struct Newest {
    std::uint64_t sequence = 0;
    TimePoint arrived;
  };

  std::map<VmId, Newest> newest_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PEER_REPORT_ORDER_H_
