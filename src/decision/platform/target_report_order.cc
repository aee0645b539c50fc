#include "decision/platform/target_report_order.h"

#include <algorithm>
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

auto TargetReportOrder::IsOutdatedInList(const RegisteredTarget& listed,
                                         StoreEra era,
                                         TimePoint now) const -> bool {
  if (IsOutdated(listed, now)) {
    return true;
  }
  const auto found = newest_.find(listed.id);
  if (found == newest_.end() || now - found->second.recorded >= kTrustTime) {
    return false;
  }
  const auto& newest = found->second;
  const bool has_left =
      newest.is_removed || (newest.is_leaving && !listed.leaving);
  return has_left && newest.era < era &&
         listed.started_ms == newest.started_ms &&
         listed.sequence == newest.sequence;
}

auto TargetReportOrder::Record(const RegisteredTarget& report,
                               StoreEra era,
                               TimePoint now) -> void {
  if (IsOutdated(report, now)) {
    return;
  }
  auto& newest = newest_[report.id];
  const bool is_known = newest.started_ms == report.started_ms &&
                        newest.sequence == report.sequence &&
                        newest.recorded != TimePoint();
  newest = {report.started_ms,
            report.sequence,
            is_known ? newest.recorded : now,
            std::max(newest.era, era),
            report.leaving,
            false};
}

auto TargetReportOrder::RecordRemoval(const TargetId& target,
                                      StoreEra era,
                                      TimePoint now) -> void {
  const auto found = newest_.find(target);
  if (found == newest_.end()) {
    return;
  }
  found->second.recorded = now;
  found->second.era = std::max(found->second.era, era);
  found->second.is_removed = true;
}

auto TargetReportOrder::IsRemoved(const TargetId& target) const -> bool {
  const auto found = newest_.find(target);
  return found != newest_.end() && found->second.is_removed;
}

auto TargetReportOrder::Prune(TimePoint now) -> void {
  for (auto it = newest_.begin(); it != newest_.end();) {
    it = now - it->second.recorded >= kTrustTime ? newest_.erase(it)
                                                 : std::next(it);
  }
}

}  // namespace flamingoyoke
