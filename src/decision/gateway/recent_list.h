#ifndef FLAMINGOYOKE_DECISION_GATEWAY_RECENT_LIST_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_RECENT_LIST_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace flamingoyoke {

// The objects that were added last, each once, the newest first. Does not own
// them: they must exist until Clear is called. Not thread-safe.
template <typename T>
class RecentList {
 public:
  // `capacity` must be at least 1.
  explicit RecentList(std::size_t capacity) : capacity_(capacity) {}

  // Makes `object` the newest one. The oldest is dropped beyond the capacity.
  auto Add(T& object) -> void {
    const auto found = std::find(objects_.begin(), objects_.end(), &object);
    if (found != objects_.end()) {
      objects_.erase(found);
    } else if (objects_.size() == capacity_) {
      objects_.pop_back();
    }
    objects_.insert(objects_.begin(), &object);
  }
  auto Clear() -> void { objects_.clear(); }

  [[nodiscard]] auto objects() const -> const std::vector<T*>& {
    return objects_;
  }

 private:
  std::size_t capacity_;
  std::vector<T*> objects_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_RECENT_LIST_H_
