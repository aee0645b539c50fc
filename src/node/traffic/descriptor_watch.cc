#include "node/traffic/descriptor_watch.h"

#include <string>

#include "runtime/descriptors.h"

namespace flamingoyoke {
namespace {

// Stands for no limit.
constexpr std::uint64_t kUnlimited = 1ULL << 31;

auto MakeGauge(std::string name, std::string help, std::uint64_t value)
    -> MetricSample {
  return {.name = std::move(name),
          .help = std::move(help),
          .is_counter = false,
          .value = static_cast<double>(value)};
}

}  // namespace

auto DescriptorWatch::Update(ConnectionPart& callers, ConnectionPart& targets)
    -> void {
  const auto limit = ReadDescriptorLimit().value_or(kUnlimited);
  if (limit == limit_ || limit == 0) {
    return;
  }
  limit_ = limit;
  budget_.emplace(limit, max_callers_);
  callers.set_limit(budget_->PartOf(DescriptorUse::kCallers));
  targets.set_limit(budget_->PartOf(DescriptorUse::kTargets));
  const bool is_bounded = callers.limit() < max_callers_;
  Log(log_part_, is_bounded ? LogLevel::kWarning : LogLevel::kInfo,
      "keeps at most " + std::to_string(callers.limit()) +
          " connections of callers" +
          (is_bounded ? " instead of " + std::to_string(max_callers_) : "") +
          " and " + std::to_string(targets.limit()) +
          " to targets: the limit of open descriptors is " +
          std::to_string(limit));
}

auto DescriptorWatch::AppendTo(const ConnectionPart& callers,
                               const ConnectionPart& targets,
                               std::vector<MetricSample>& samples) const
    -> void {
  if (!budget_) {
    return;
  }
  for (const auto& entry : EnumNames<DescriptorUse>::kTable) {
    samples.push_back(
        MakeGauge("flamingoyoke_descriptors_for_" + std::string(entry.name),
                  "Part of the limit of descriptors that a use may take.",
                  budget_->PartOf(entry.value)));
  }
  samples.push_back(MakeGauge("flamingoyoke_caller_connections",
                              "Open caller connections.", callers.used()));
  samples.push_back(MakeGauge("flamingoyoke_target_connections",
                              "Open connections to targets.", targets.used()));
}

}  // namespace flamingoyoke
