#include "node/traffic/answer_memory.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

AnswerMemory::Share::Share(AnswerMemory* memory, std::function<void()> on_evict)
    : memory_(memory), on_evict_(std::move(on_evict)) {
  if (on_evict_) {
    memory_->evictable_.insert(this);
  }
}

AnswerMemory::Share::~Share() {
  memory_->used_ -= bytes_;
  memory_->evictable_.erase(this);
}

auto AnswerMemory::Share::Set(std::size_t bytes) -> void {
  memory_->used_ += bytes;
  memory_->used_ -= bytes_;
  const bool grows = bytes > bytes_;
  bytes_ = bytes;
  if (grows && memory_->is_exhausted()) {
    memory_->EvictLargest();
  }
}

auto AnswerMemory::EvictLargest() -> void {
  const auto largest = std::max_element(
      evictable_.begin(), evictable_.end(),
      [](const Share* a, const Share* b) { return a->bytes_ < b->bytes_; });
  if (largest == evictable_.end() || (*largest)->bytes_ == 0) {
    return;
  }
  auto* share = *largest;
  evictable_.erase(largest);
  ++evictions_;
  share->on_evict_();
}

}  // namespace flamingoyoke
