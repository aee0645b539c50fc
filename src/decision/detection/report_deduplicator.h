#ifndef FLAMINGOYOKE_DECISION_DETECTION_REPORT_DEDUPLICATOR_H_
#define FLAMINGOYOKE_DECISION_DETECTION_REPORT_DEDUPLICATOR_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Detects repeated outcome reports, which have no sequence number. If a report
// were counted twice, two failures would have the weight of four. Not
// thread-safe.
class ReportDeduplicator {
 public:
  // The network may duplicate a message within this time. A later, equal report
  // from the same sender counts as new.
  static constexpr Duration kRetention = std::chrono::milliseconds(250);
  static constexpr std::size_t kMaxRemembered = 256;

  // Returns whether the report is new, and records it. `loan` is 0 for a report
  // without a loan. A report without failures always counts as new.
  auto IsNew(const VmId& sender,
             LoanId loan,
             const std::vector<TargetOutcomes>& outcomes,
             TimePoint now) -> bool;

 private:
  struct Seen {
    std::uint64_t digest = 0;
    TimePoint at;
  };

  std::deque<Seen> seen_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_REPORT_DEDUPLICATOR_H_
