#include "decision/platform/target_report_order.h"

#include <iterator>
#include <tuple>

namespace flamingoyoke {

auto TargetReportOrder::IsOutdated(const RegisteredTarget& report,
                                   TimePoint now) const -> bool {
  const auto found = newest_.find(report.id);
  if (found == newest_.end() || now - found->second.recorded >= kTrustTime) {
    return false;
  }
  const auto& newest = found->second;
  return std::tie(report.started_ms, report.sequence) <
         std::tie(newest.started_ms, newest.sequence);
}

auto TargetReportOrder::Record(const RegisteredTarget& report, TimePoint now)
    -> void {
  if (IsOutdated(report, now)) {
    return;
  }
  auto& newest = newest_[report.id];
  if (newest.started_ms == report.started_ms &&
      newest.sequence == report.sequence && newest.recorded != TimePoint()) {
    return;
  }
  newest = {report.started_ms, report.sequence, now};
}

auto TargetReportOrder::Prune(TimePoint now) -> void {
  for (auto it = newest_.begin(); it != newest_.end();) {
    it = now - it->second.recorded >= kTrustTime ? newest_.erase(it)
                                                 : std::next(it);
  }
}

}  // namespace flamingoyoke
