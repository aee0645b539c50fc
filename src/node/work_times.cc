#include "node/work_times.h"

#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke {

WorkTimes::Scope::Scope(WorkTimes& times, std::string_view kind)
    : times_(times),
      kind_(kind),
      begin_(Now()),
      is_outermost_(!std::exchange(times.is_measuring_, true)) {}

WorkTimes::Scope::~Scope() {
  if (is_outermost_) {
    times_.is_measuring_ = false;
    times_.Add(kind_, Now() - begin_);
  }
}

auto WorkTimes::Add(std::string_view kind, Duration duration) -> void {
  auto& total = totals_[kind];
  total.duration += duration;
  ++total.events;
}

auto WorkTimes::AppendTo(std::vector<MetricSample>& samples) const -> void {
  for (const auto& [kind, total] : totals_) {
    const MetricSample labels = {.label_name = "task",
                                 .label_value = std::string(ToName(part_)),
                                 .second_label_name = "work",
                                 .second_label_value = std::string(kind)};
    auto seconds = labels;
    seconds.name = "flamingoyoke_work_seconds_total";
    seconds.help =
        "Time that tasks worked on events, waits for the processor included.";
    seconds.value = ToSeconds(total.duration);
    samples.push_back(std::move(seconds));
    auto events = labels;
    events.name = "flamingoyoke_work_events_total";
    events.help = "Events that tasks worked on.";
    events.value = static_cast<double>(total.events);
    samples.push_back(std::move(events));
  }
}

auto WorkTimes::LogSummary() -> void {
  std::string text;
  for (const auto& [kind, total] : totals_) {
    auto& before = summarized_[kind];
    const auto events = total.events - before.events;
    if (events > 0) {
      text += (text.empty() ? "" : ", ") + std::string(kind) + " " +
              std::to_string((total.duration - before.duration).count()) +
              " us in " + std::to_string(events);
    }
    before = total;
  }
  if (!text.empty()) {
    Log(part_, LogLevel::kDebug, "worked: " + text);
  }
}

}  // namespace flamingoyoke
