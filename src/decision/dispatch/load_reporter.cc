#include "decision/dispatch/load_reporter.h"

#include <utility>

namespace flamingoyoke {

auto LoadReporter::OnResult(AttemptResult result) -> void {
  switch (result) {
    case AttemptResult::kAnswered:
      ++succeeded_;
      break;
    case AttemptResult::kServerError:
    case AttemptResult::kFalseRefusal:
    case AttemptResult::kConnectFailed:
    case AttemptResult::kTimeout:
    case AttemptResult::kReset:
    case AttemptResult::kPartialAnswer:
      ++failed_;
      break;
    case AttemptResult::kShed:
    case AttemptResult::kNoConnection:
    case AttemptResult::kCancelled:
      break;
  }
}

auto LoadReporter::IsDue(std::uint32_t idle_slots,
                         bool busy,
                         TimePoint now) const -> bool {
  const auto at = NextWake(idle_slots, busy);
  return at && *at <= now;
}

auto LoadReporter::TakeReport(const ServiceId& service,
                              std::uint32_t queue_length,
                              std::uint32_t idle_slots,
                              bool busy,
                              TimePoint now) -> LoadReport {
  last_sent_at_ = now;
  reported_idle_slots_ = idle_slots;
  reported_busy_ = busy;
  return {.service = service,
          .queue_length = queue_length,
          .idle_slots = idle_slots,
          .succeeded = std::exchange(succeeded_, 0),
          .failed = std::exchange(failed_, 0),
          .sequence = ++last_sequence_};
}

auto LoadReporter::NextWake(std::uint32_t idle_slots, bool busy) const
    -> std::optional<TimePoint> {
  if (!last_sent_at_) {
    return TimePoint::min();
  }
  if ((idle_slots == 0) != (reported_idle_slots_ == 0)) {
    return *last_sent_at_ + kMinInterval;
  }
  if (busy || reported_busy_) {
    return *last_sent_at_ + kMaxInterval;
  }
  return std::nullopt;
}

}  // namespace flamingoyoke
