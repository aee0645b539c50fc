#include "decision/detection/ejection_notice_publisher.h"

#include <algorithm>

namespace flamingoyoke {

auto EjectionNoticePublisher::Update(const TargetId& target,
                                     TargetState state,
                                     double severity,
                                     TimePoint now)
    -> std::optional<EjectionNotice> {
  const auto found = entries_.find(target);
  if (found == entries_.end() && state == TargetState::kHealthy) {
    return std::nullopt;
  }
  auto& entry = found == entries_.end() ? entries_[target] : found->second;
  const bool is_new = found == entries_.end() || entry.notice.state != state ||
                      entry.notice.severity != severity;
  if (!is_new && now < entry.renew_at) {
    return std::nullopt;
  }
  if (is_new) {
    // Versions follow the clock, which continues across restarts of the
    // process. Otherwise receivers would drop the notices of a restarted
    // process as old ones.
    const auto clock = static_cast<std::uint64_t>(
        std::max<std::int64_t>(ToMilliseconds(now.time_since_epoch()), 0));
    entry.notice.target = target;
    entry.notice.state = state;
    entry.notice.severity = severity;
    entry.notice.version = std::max(entry.notice.version + 1, clock);
    entry.notice.duration = kNoticeLifetime;
    entry.interval = kFirstRenewalDelay;
    entry.repeats_left = kHealthyRepeatCount;
  }
  entry.renew_at = now + entry.interval;
  entry.interval = std::min(2 * entry.interval, kRenewalInterval);
  if (state == TargetState::kHealthy && entry.repeats_left-- <= 0) {
    entry.renew_at = TimePoint::max();
    return std::nullopt;
  }
  return entry.notice;
}

auto EjectionNoticePublisher::NextWake() const -> TimePoint {
  auto wake = TimePoint::max();
  for (const auto& [target, entry] : entries_) {
    wake = std::min(wake, entry.renew_at);
  }
  return wake;
}

}  // namespace flamingoyoke
