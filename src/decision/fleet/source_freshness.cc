#include "decision/fleet/source_freshness.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

SourceFreshness::SourceFreshness(VmId self,
                                 Incarnation incarnation,
                                 Duration max_age,
                                 Random random)
    : self_(std::move(self)),
      incarnation_(incarnation),
      max_age_(max_age),
      random_(random),
      offset_(random_.Unit()) {}

auto SourceFreshness::OnStarted(TimePoint now) -> void {
  confirmed_at_ = now + kStartGrace - max_age_;
  is_announcement_due_ = false;
  newest_.reset();
  is_substitute_ = false;
}

auto SourceFreshness::OnFollowing(bool is_elected,
                                  StoreEra era,
                                  std::optional<TimePoint> available_since,
                                  TimePoint now) -> void {
  if (era < era_) {
    return;
  }
  SourceConfirmation confirmation{
      self_, incarnation_, ++sequence_, Duration::zero(), is_elected, era};
  if (available_since) {
    confirmation.available_for = now - *available_since;
  }
  Confirm(confirmation, now);
}

auto SourceFreshness::OnConfirmation(const SourceConfirmation& confirmation,
                                     TimePoint now) -> void {
  if (confirmation.reader == self_ || confirmation.age > max_age_ ||
      confirmation.era < era_) {
    return;
  }
  if (seen_.size() >= kMaxReaders && !seen_.contains(confirmation.reader)) {
    seen_.clear();
  }
  auto& seen = seen_[confirmation.reader];
  const std::pair order(confirmation.incarnation, confirmation.sequence);
  if (order <= seen) {
    return;
  }
  seen = order;
  const auto at = now - confirmation.age;
  if (IsBetterReader(confirmation)) {
    better_confirmed_at_ = std::max(better_confirmed_at_.value_or(at), at);
  }
  Confirm(confirmation, at);
}

auto SourceFreshness::Confirm(const SourceConfirmation& confirmation,
                              TimePoint at) -> void {
  OnEra(confirmation.era);
  if (newest_ && newest_->era == confirmation.era && at <= newest_at_) {
    return;
  }
  if (at - confirmed_at_ >= max_age_ / 2) {
    is_announcement_due_ = true;
  }
  newest_ = confirmation;
  newest_at_ = at;
  confirmed_at_ = std::max(confirmed_at_, at);
}

auto SourceFreshness::IsBetterReader(const SourceConfirmation& other) const
    -> bool {
  return other.is_elected || other.reader < self_;
}

auto SourceFreshness::Newest(TimePoint now) const
    -> std::optional<SourceConfirmation> {
  auto newest = newest_;
  if (newest) {
    newest->age = std::max(now - newest_at_, Duration::zero());
  }
  return newest;
}

auto SourceFreshness::AvailableSince() const -> std::optional<TimePoint> {
  if (!newest_ || !newest_->available_for) {
    return std::nullopt;
  }
  return newest_at_ - *newest_->available_for;
}

auto SourceFreshness::TakeAnnouncementDue() -> bool {
  return std::exchange(is_announcement_due_, false);
}

auto SourceFreshness::ShouldRead(TimePoint now) -> bool {
  if (is_substitute_) {
    is_substitute_ =
        !better_confirmed_at_ || now - *better_confirmed_at_ >= max_age_;
    return is_substitute_;
  }
  if (now >= due()) {
    is_substitute_ = true;
    offset_ = random_.Unit();
  }
  return is_substitute_;
}

auto SourceFreshness::due() const -> TimePoint {
  const auto spread =
      std::min(kSpreadPerVm * static_cast<std::int64_t>(fleet_size_),
               Duration(max_age_ / 2));
  return confirmed_at_ + max_age_ +
         Duration(static_cast<std::int64_t>(
             offset_ * static_cast<double>(spread.count())));
}

auto SourceFreshness::NewestAge(TimePoint now) const
    -> std::optional<Duration> {
  return newest_ ? std::optional(now - newest_at_) : std::nullopt;
}

auto SourceFreshness::Age(TimePoint now) const -> Duration {
  return std::max(now - confirmed_at_, Duration::zero());
}

}  // namespace flamingoyoke
