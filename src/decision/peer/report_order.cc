#include "decision/peer/report_order.h"

namespace flamingoyoke {

auto ReportOrder::Accept(const VmId& sender,
                         std::uint64_t sequence,
                         TimePoint now) -> bool {
  if (sequence == 0) {
    return true;
  }
  const auto is_outdated = [now](const Newest& newest) {
    return now - newest.arrived >= kTrustTime;
  };
  const auto known = newest_.find(sender);
  if (known != newest_.end() && sequence < known->second.sequence &&
      !is_outdated(known->second)) {
    return false;
  }
  newest_[sender] = {sequence, now};
  if (newest_.size() > kMaxSenders) {
    std::erase_if(newest_,
                  [&](const auto& each) { return is_outdated(each.second); });
  }
  return true;
}

}  // namespace flamingoyoke
