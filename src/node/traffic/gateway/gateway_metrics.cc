#include "node/traffic/gateway/gateway_metrics.h"

#include <algorithm>
#include <string>
#include <utility>

namespace flamingoyoke {
namespace {

auto MakeCounter(std::string name,
                 std::string help,
                 const ServiceId& service,
                 std::uint64_t value) -> MetricSample {
  MetricSample sample;
  sample.name = std::move(name);
  sample.help = std::move(help);
  sample.label_name = "service";
  sample.label_value = service.value();
  sample.value = static_cast<double>(value);
  return sample;
}

}  // namespace

auto AddServiceSamples(const ServiceId& service,
                       const PoolDispatcher& dispatcher,
                       TimePoint now,
                       std::vector<MetricSample>& samples) -> void {
  const auto& counters = dispatcher.counters();
  const auto add = [&](const char* name, const char* help,
                       std::uint64_t value) {
    samples.push_back(MakeCounter(name, help, service, value));
  };
  add("flamingoyoke_gateway_requests_total", "Requests that routes took.",
      counters.arrived);
  add("flamingoyoke_gateway_delivered_total",
      "Requests that got the answer of a target.", counters.delivered);
  add("flamingoyoke_gateway_delivered_errors_total",
      "Delivered answers of 500 and above.", counters.delivered_errors);
  add("flamingoyoke_gateway_refused_total",
      "Requests that were answered as not run.", counters.refused);
  add("flamingoyoke_gateway_unknown_total",
      "Requests whose outcome is not known.", counters.unknown);
  add("flamingoyoke_gateway_retried_total",
      "Attempts that followed a failed one.", counters.retried);
  add("flamingoyoke_gateway_hedged_total", "Second attempts beside a slow one.",
      counters.hedged);
  add("flamingoyoke_gateway_leaving_answers_total",
      "Answers in which a target said that it leaves.",
      counters.leaving_answers);
  add("flamingoyoke_gateway_rest_answers_total",
      "Answers in which a target asked for a rest.", counters.rest_answers);
  const auto add_gauge = [&](const char* name, const char* help,
                             Availability availability) {
    add(name, help, dispatcher.pool().CountOf(availability, now));
    samples.back().is_counter = false;
  };
  add_gauge("flamingoyoke_gateway_leaving_targets",
            "Registered targets that said that they leave.",
            Availability::kLeaving);
  add_gauge("flamingoyoke_gateway_resting_targets",
            "Targets that asked for a rest which is not over.",
            Availability::kResting);
  add("flamingoyoke_gateway_owned_targets",
      "Targets that this vm tries before those of other entry vms.",
      dispatcher.pool().owned_count());
  samples.back().is_counter = false;
  const auto& load = dispatcher.pool().load_counters();
  add("flamingoyoke_gateway_load_news_total",
      "Answers in which a target stated its load.", load.news);
  add("flamingoyoke_gateway_load_news_age_seconds_total",
      "Sum of the times between two statements of a target.", 0);
  samples.back().value = ToSeconds(load.age);
  add("flamingoyoke_gateway_load_error_requests_total",
      "Sum of the differences between estimated and stated load, in requests.",
      0);
  samples.back().value = load.error;
  add("flamingoyoke_gateway_beyond_slots_total",
      "Attempts at targets without a free slot, by their answers.",
      load.beyond_slots);
  add("flamingoyoke_gateway_load_age_seconds",
      "Mean age of what the targets stated last.", 0);
  samples.back().value = ToSeconds(dispatcher.pool().MeanNewsAge(now));
  samples.back().is_counter = false;
}

auto QueueMetrics::Add(const PoolDispatcher& dispatcher) -> void {
  for (const auto& [priority, count] : dispatcher.queue().CountByPriority()) {
    waiting_.at(std::min<std::size_t>(priority, kPriorities - 1)) += count;
  }
  const auto& refused_by = dispatcher.counters().refused_by;
  for (std::size_t i = 0; i < refused_by.size(); ++i) {
    refused_by_.at(i) += refused_by.at(i);
  }
}

auto QueueMetrics::AppendTo(std::vector<MetricSample>& samples) const -> void {
  for (std::size_t i = 0; i < kPriorities; ++i) {
    samples.push_back(
        {.name = "flamingoyoke_gateway_waiting",
         .help = "Requests that wait for a slot; the last priority holds all "
                 "less urgent ones.",
         .label_name = "priority",
         .label_value = std::to_string(i),
         .is_counter = false,
         .value = static_cast<double>(waiting_.at(i))});
  }
  for (const auto& [kind, name] : EnumNames<ErrorKind>::kTable) {
    if (const auto count = refused_by_.at(static_cast<std::size_t>(kind))) {
      samples.push_back({.name = "flamingoyoke_gateway_refused_by_total",
                         .help = "Requests that services refused, by reason.",
                         .label_name = "reason",
                         .label_value = std::string(name),
                         .value = static_cast<double>(count)});
    }
  }
}

}  // namespace flamingoyoke
