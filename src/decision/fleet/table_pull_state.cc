#include "decision/fleet/table_pull_state.h"

#include <algorithm>

namespace flamingoyoke {

auto TablePullState::AddSource(const VmId& peer) -> void {
  if (sources_.size() < kMaxPullSources &&
      std::find(sources_.begin(), sources_.end(), peer) == sources_.end()) {
    sources_.push_back(peer);
  }
}

auto TablePullState::NextSource(TimePoint now) -> std::optional<VmId> {
  if ((deadline_ && now < *deadline_) || sources_.empty() ||
      pulls_sent_ >= kMaxPullsPerSource * sources_.size()) {
    return std::nullopt;
  }
  deadline_ = now + kPullTimeout;
  return sources_[pulls_sent_++ % sources_.size()];
}

auto TablePullState::IsExhausted(TimePoint now) const -> bool {
  return pulls_sent_ >= kMaxPullsPerSource * sources_.size() &&
         (!deadline_ || *deadline_ <= now);
}

}  // namespace flamingoyoke
