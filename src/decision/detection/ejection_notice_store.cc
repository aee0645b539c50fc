#include "decision/detection/ejection_notice_store.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// Returns the rank of a state by severity. States that do not restrict other
// nodes have rank 0.
auto RankOfState(TargetState state) -> int {
  switch (state) {
    case TargetState::kHealthy:
    case TargetState::kUnreachable:
      return 0;
    case TargetState::kRamping:
      return 1;
    case TargetState::kTrial:
      return 2;
    case TargetState::kEjected:
      return 3;
    case TargetState::kDraining:
      return 4;
  }
  return 0;
}

}  // namespace

auto EjectionNoticeStore::OnNotice(const VmId& sender,
                                   const EjectionNotice& notice,
                                   TimePoint now) -> void {
  auto& senders = records_[notice.target];
  const auto found = senders.find(sender);
  if (found == senders.end() && senders.size() >= kMaxSenders) {
    return;
  }
  auto& record = found == senders.end() ? senders[sender] : found->second;
  const bool is_known =
      found != senders.end() && now - kVersionRetention < record.expires;
  if (is_known && notice.version < record.version) {
    return;
  }
  if (!is_known || notice.version > record.version) {
    // This form of the check rejects NaN as well.
    const bool has_severity = notice.severity >= 0 && notice.severity <= 1;
    record = {notice.state, notice.version, has_severity ? notice.severity : 1,
              now};
  }
  // A drain ends only by a signal, never by expiry.
  record.expires = record.state == TargetState::kDraining
                       ? TimePoint::max()
                       : now + std::clamp(notice.duration, Duration::zero(),
                                          kMaxNoticeLifetime);
}

auto EjectionNoticeStore::WorstState(const TargetId& target,
                                     TimePoint now) const
    -> std::optional<NoticedState> {
  const auto found = records_.find(target);
  if (found == records_.end()) {
    return std::nullopt;
  }
  std::optional<NoticedState> worst;
  for (const auto& [sender, record] : found->second) {
    if (record.expires <= now || RankOfState(record.state) == 0) {
      continue;
    }
    const int rank = RankOfState(record.state);
    const int worst_rank = worst ? RankOfState(worst->state) : 0;
    if (rank > worst_rank ||
        (rank == worst_rank && record.severity > worst->severity)) {
      worst = NoticedState{record.state, record.severity, sender};
    }
  }
  return worst;
}

auto EjectionNoticeStore::HasDirectDrain(const TargetId& target,
                                         TimePoint now) const -> bool {
  const auto found = records_.find(target);
  return found != records_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const auto& entry) {
                       const auto& record = entry.second;
                       return record.state == TargetState::kDraining &&
                              record.severity >= kDirectDrainSeverity &&
                              record.expires > now;
                     });
}

auto EjectionNoticeStore::IsUnreachableFor(const VmId& sender,
                                           const TargetId& target,
                                           TimePoint now) const -> bool {
  const auto found = records_.find(target);
  if (found == records_.end()) {
    return false;
  }
  const auto record = found->second.find(sender);
  return record != found->second.end() &&
         record->second.state == TargetState::kUnreachable &&
         record->second.expires > now;
}

auto EjectionNoticeStore::ClearDrains(const TargetId& target) -> void {
  const auto found = records_.find(target);
  if (found == records_.end()) {
    return;
  }
  for (auto& [sender, record] : found->second) {
    if (record.state == TargetState::kDraining) {
      // Keeps the version, so that a repeated notice has no effect.
      record.state = TargetState::kHealthy;
    }
  }
}

auto EjectionNoticeStore::Resume(TimePoint now) -> void {
  for (auto& [target, senders] : records_) {
    for (auto& [sender, record] : senders) {
      record.expires = now + kLifetimeAfterResume;
    }
  }
}

auto EjectionNoticeStore::Retain(const std::vector<TargetId>& targets) -> void {
  std::erase_if(records_, [&](const auto& entry) {
    return std::find(targets.begin(), targets.end(), entry.first) ==
           targets.end();
  });
}

auto EjectionNoticeStore::NextExpiry(TimePoint now) const -> TimePoint {
  auto next = TimePoint::max();
  for (const auto& [target, senders] : records_) {
    for (const auto& [sender, record] : senders) {
      if (record.expires > now) {
        next = std::min(next, record.expires);
      }
    }
  }
  return next;
}

}  // namespace flamingoyoke
