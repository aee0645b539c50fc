#include "decision/platform/target_report_order.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace flamingoyoke {

auto TargetReportOrder::IsOlder(const RegisteredTarget& report,
                                const Newest& newest,
                                TimePoint now) -> bool {
  return now - newest.recorded < kTrustTime &&
         std::tie(report.started_ms, report.sequence) <
             std::tie(newest.started_ms, newest.sequence);
}

auto TargetReportOrder::IsSameReport(const RegisteredTarget& report,
                                     const Newest& newest) -> bool {
  return std::tie(report.started_ms, report.sequence) ==
         std::tie(newest.started_ms, newest.sequence);
}

auto TargetReportOrder::IsOutdated(const RegisteredTarget& report,
                                   TimePoint now) const -> bool {
  const auto found = newest_.find(report.id);
  return found != newest_.end() && IsOlder(report, found->second, now);
}

auto TargetReportOrder::IsOutdatedInList(const RegisteredTarget& listed,
                                         StoreEra era,
                                         TimePoint now) const -> bool {
  const auto found = newest_.find(listed.id);
  if (found == newest_.end()) {
    return false;
  }
  const auto& newest = found->second;
  if (IsOlder(listed, newest, now)) {
    return true;
  }
  const bool has_left =
      newest.is_removed || (newest.is_leaving && !listed.leaving);
  return has_left && newest.era < era && IsSameReport(listed, newest) &&
         now - newest.recorded < kTrustTime;
}

auto TargetReportOrder::Record(const RegisteredTarget& report,
                               StoreEra era,
                               TimePoint now) -> void {
  const auto [entry, is_new] = newest_.try_emplace(report.id);
  if (is_new) {
    entry->second.recorded = now;
  } else if (IsOlder(report, entry->second, now)) {
    return;
  }
  Update(report, era, now, entry->second);
}

auto TargetReportOrder::RecordInForce(const RegisteredTarget& report,
                                      StoreEra era,
                                      TimePoint now) -> void {
  const auto found = newest_.find(report.id);
  if (found == newest_.end() || !found->second.is_removed ||
      !IsSameReport(report, found->second)) {
    Record(report, era, now);
  }
}

auto TargetReportOrder::Update(const RegisteredTarget& report,
                               StoreEra era,
                               TimePoint now,
                               Newest& newest) -> void {
  newest = {report.started_ms,
            report.sequence,
            IsSameReport(report, newest) ? newest.recorded : now,
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

auto TargetReportOrder::Prune(TimePoint now) -> void {
  for (auto it = newest_.begin(); it != newest_.end();) {
    it = now - it->second.recorded >= kTrustTime ? newest_.erase(it)
                                                 : std::next(it);
  }
}

}  // namespace flamingoyoke
