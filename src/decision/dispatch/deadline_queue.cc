#include "decision/dispatch/deadline_queue.h"

#include <algorithm>

namespace flamingoyoke {

auto DeadlineQueue::SetLimits(std::size_t count, std::uint64_t bytes) -> void {
  count_limit_ = count;
  byte_limit_ = bytes;
}

auto DeadlineQueue::HasRoom(std::uint64_t body_bytes) const -> bool {
  return entries_.size() < count_limit_ && bytes_ <= byte_limit_ &&
         body_bytes <= byte_limit_ - bytes_;
}

auto DeadlineQueue::Push(const QueuedRequest& queued) -> void {
  const auto [entry, added] = entries_.emplace(queued.request, queued);
  if (!added) {
    return;
  }
  bytes_ += queued.body_bytes;
  by_deadline_[static_cast<std::size_t>(queued.work_class)].emplace(
      queued.deadline, queued.request);
}

auto DeadlineQueue::Remove(RequestId request) -> bool {
  const auto entry = entries_.find(request);
  if (entry == entries_.end()) {
    return false;
  }
  const auto& queued = entry->second;
  bytes_ -= queued.body_bytes;
  by_deadline_[static_cast<std::size_t>(queued.work_class)].erase(
      {queued.deadline, request});
  entries_.erase(entry);
  return true;
}

auto DeadlineQueue::Contains(RequestId request) const -> bool {
  return entries_.contains(request);
}

auto DeadlineQueue::Front(WorkClass work_class) const
    -> std::optional<QueuedRequest> {
  const auto& index = IndexFor(work_class);
  if (index.empty()) {
    return std::nullopt;
  }
  return entries_.at(index.begin()->second);
}

auto DeadlineQueue::EarliestDeadline() const -> std::optional<TimePoint> {
  std::optional<TimePoint> earliest;
  for (const auto& index : by_deadline_) {
    if (!index.empty() && (!earliest || index.begin()->first < *earliest)) {
      earliest = index.begin()->first;
    }
  }
  return earliest;
}

auto DeadlineQueue::CountBefore(WorkClass work_class,
                                TimePoint deadline,
                                std::size_t limit) const -> std::size_t {
  const auto& index = IndexFor(work_class);
  // Fast path: if all requests have the same timeout, the newest one has the
  // latest deadline.
  if (index.empty() || index.rbegin()->first <= deadline) {
    return std::min(limit, index.size());
  }
  std::size_t count = 0;
  for (const auto& [waiting_deadline, request] : index) {
    if (waiting_deadline > deadline || count >= limit) {
      break;
    }
    ++count;
  }
  return count;
}

}  // namespace flamingoyoke
