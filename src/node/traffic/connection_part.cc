#include "node/traffic/connection_part.h"

#include <string>

#include "core/name_table.h"

namespace flamingoyoke {
namespace {

// Connections beyond the limit while idle ones that they replace are closing.
constexpr std::size_t kMaxReplaced = 16;
// Hysteresis: the part counts as free again below this share of the limit.
constexpr std::size_t kFreeNumerator = 7;
constexpr std::size_t kFreeDenominator = 8;

}  // namespace

ConnectionPart::Registration::Registration(ConnectionPart& part,
                                           CloseIdle close_idle)
    : part_(part),
      entry_(part.close_idle_.insert(part.close_idle_.end(),
                                     std::move(close_idle))) {}

ConnectionPart::Registration::~Registration() {
  part_.close_idle_.erase(entry_);
}

auto ConnectionPart::MakeRoom() -> bool {
  if (used_ < limit_) {
    return true;
  }
  if (used_ < limit_ + kMaxReplaced) {
    for (auto asked = close_idle_.size(); asked > 0; --asked) {
      const auto first = close_idle_.begin();
      close_idle_.splice(close_idle_.end(), close_idle_, first);
      if ((*first)()) {
        return true;
      }
    }
  }
  if (!std::exchange(is_used_up_, true)) {
    Log(log_part_, LogLevel::kWarning,
        "all " + std::to_string(limit_) + " descriptors for " +
            std::string(ToName(use_)) +
            " are in use; opens or accepts no more connections");
  }
  return false;
}

auto ConnectionPart::OnClosed() -> void {
  --used_;
  if (is_used_up_ && used_ * kFreeDenominator <= limit_ * kFreeNumerator) {
    is_used_up_ = false;
    Log(log_part_, LogLevel::kInfo,
        "descriptors for " + std::string(ToName(use_)) + " are free again");
  }
}

}  // namespace flamingoyoke
