#include "decision/dispatch/request_tracker.h"

#include <algorithm>

namespace flamingoyoke {

auto RequestTracker::AddRequest(const TrackedRequest& request)
    -> TrackedRequest& {
  return requests_.insert_or_assign(request.request, request).first->second;
}

auto RequestTracker::FindRequest(RequestId request) -> TrackedRequest* {
  const auto entry = requests_.find(request);
  return entry == requests_.end() ? nullptr : &entry->second;
}

auto RequestTracker::EraseRequest(RequestId request) -> void {
  requests_.erase(request);
}

auto RequestTracker::AddAttempt(const TrackedAttempt& attempt) -> void {
  attempts_.insert_or_assign(attempt.attempt, attempt);
  if (auto* request = FindRequest(attempt.request)) {
    request->in_flight.push_back(attempt.attempt);
    ++request->attempts;
  }
}

auto RequestTracker::FindAttempt(AttemptId attempt) -> TrackedAttempt* {
  const auto entry = attempts_.find(attempt);
  return entry == attempts_.end() ? nullptr : &entry->second;
}

auto RequestTracker::RemoveAttempt(AttemptId attempt)
    -> std::optional<TrackedAttempt> {
  const auto entry = attempts_.find(attempt);
  if (entry == attempts_.end()) {
    return std::nullopt;
  }
  const auto taken = entry->second;
  attempts_.erase(entry);
  if (auto* request = FindRequest(taken.request)) {
    auto& in_flight = request->in_flight;
    in_flight.erase(std::remove(in_flight.begin(), in_flight.end(), attempt),
                    in_flight.end());
  }
  return taken;
}

}  // namespace flamingoyoke
