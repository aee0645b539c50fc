#include "standins/load/load_result.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke::standin {
namespace {

constexpr int kOk = 200;

// Nearest-rank percentile of sorted values, in milliseconds.
auto PercentileMs(const std::vector<Duration>& sorted, double share) -> double {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = std::ceil(share * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return std::chrono::duration<double, std::milli>(sorted[index]).count();
}

}  // namespace

auto LoadResult::Add(WorkClass work_class,
                     const HttpAnswer& answer,
                     bool is_body_correct,
                     Duration time,
                     Duration deadline) -> void {
  auto& result = classes_.at(static_cast<std::size_t>(work_class));
  ++result.sent;
  ++result.by_status[std::to_string(answer.status)];
  const auto outcome = answer.Header("Flamingoyoke-Outcome");
  ++result.by_outcome[outcome.empty() ? "none" : outcome];
  const auto error = answer.Header("Flamingoyoke-Error");
  if (!error.empty()) {
    ++result.by_error[error];
  }
  if (answer.status != kOk) {
    return;
  }
  ++result.ok;
  result.ok_within_deadline += time <= deadline ? 1 : 0;
  result.wrong_body += is_body_correct ? 0 : 1;
  result.latencies.push_back(time);
}

auto LoadResult::ToJson() const -> nlohmann::json {
  auto json = nlohmann::json::object();
  for (const auto& entry : EnumNames<WorkClass>::kTable) {
    json[std::string(entry.name)] =
        ToJson(classes_.at(static_cast<std::size_t>(entry.value)));
  }
  return json;
}

auto LoadResult::ToJson(const ClassResult& result) -> nlohmann::json {
  auto sorted = result.latencies;
  std::sort(sorted.begin(), sorted.end());
  return {{"sent", result.sent},
          {"ok", result.ok},
          {"ok_within_deadline", result.ok_within_deadline},
          {"wrong_body", result.wrong_body},
          {"by_status", result.by_status},
          {"by_outcome", result.by_outcome},
          {"by_error", result.by_error},
          {"p50_ms", PercentileMs(sorted, 0.5)},
          {"p90_ms", PercentileMs(sorted, 0.9)},
          {"p99_ms", PercentileMs(sorted, 0.99)},
          {"max_ms", PercentileMs(sorted, 1)}};
}

}  // namespace flamingoyoke::standin
