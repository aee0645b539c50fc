#include "bench/run_result.h"

#include <algorithm>

namespace flamingoyoke {

auto RunResult::AddAnswer(WorkClass work_class,
                          TimePoint arrived,
                          TimePoint at,
                          TimePoint deadline) -> void {
  responses_[static_cast<std::size_t>(work_class)].push_back(at - arrived);
  if (at <= deadline) {
    timely_answers_.push_back(at);
  }
}

auto RunResult::Merge(const RunResult& other) -> void {
  messages += other.messages;
  bytes += other.bytes;
  for (std::size_t i = 0; i < messages_by_kind.size(); ++i) {
    messages_by_kind[i] += other.messages_by_kind[i];
  }
  upstream_sheds += other.upstream_sheds;
  failures_ += other.failures_;
  timely_answers_.insert(timely_answers_.end(), other.timely_answers_.begin(),
                         other.timely_answers_.end());
  for (std::size_t i = 0; i < responses_.size(); ++i) {
    responses_[i].insert(responses_[i].end(), other.responses_[i].begin(),
                         other.responses_[i].end());
  }
}

auto RunResult::ResponseMs(WorkClass work_class, double quantile) const
    -> double {
  auto sorted = responses_[static_cast<std::size_t>(work_class)];
  if (sorted.empty()) {
    return 0;
  }
  const auto index = std::min(
      sorted.size() - 1,
      static_cast<std::size_t>(quantile * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return ToSeconds(sorted[index]) * 1000;
}

auto RunResult::ShedShare() const -> double {
  double total = static_cast<double>(failures_);
  for (const auto& responses : responses_) {
    total += static_cast<double>(responses.size());
  }
  return total == 0 ? 0 : static_cast<double>(failures_) / total;
}

auto RunResult::TimelyAnswers(TimePoint from, TimePoint until) const
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(timely_answers_.begin(), timely_answers_.end(),
                    [&](TimePoint at) { return at >= from && at < until; }));
}

}  // namespace flamingoyoke
