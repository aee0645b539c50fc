#include "node/observe/telemetry/metric_store.h"

#include <array>
#include <cstddef>
#include <cstdio>
#include <string_view>
#include <utility>

namespace flamingoyoke {
namespace {

auto FormatNumber(double value) -> std::string {
  std::array<char, 32> text = {};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

auto EscapeLabel(std::string_view value) -> std::string {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    escaped += c;
  }
  return escaped;
}

// Returns for example `{a="b",le="c"}`, or an empty string without labels.
auto FormatLabels(const MetricSample& sample, std::string_view bound)
    -> std::string {
  std::string labels;
  if (!sample.label_name.empty()) {
    labels = sample.label_name + "=\"" + EscapeLabel(sample.label_value) + "\"";
  }
  if (!sample.second_label_name.empty()) {
    labels += (labels.empty() ? "" : ",") + sample.second_label_name + "=\"" +
              EscapeLabel(sample.second_label_value) + "\"";
  }
  if (!bound.empty()) {
    labels += (labels.empty() ? "le=\"" : ",le=\"") + std::string(bound) + "\"";
  }
  return labels.empty() ? "" : "{" + labels + "}";
}

auto TypeOf(const MetricSample& sample) -> std::string_view {
  if (!sample.bounds.empty()) {
    return "histogram";
  }
  return sample.is_counter ? "counter" : "gauge";
}

// `counts` has one entry per bound, followed by the total count.
auto RenderHistogram(const MetricSample& sample) -> std::string {
  std::string text;
  for (std::size_t i = 0; i < sample.counts.size(); ++i) {
    const auto bound = i < sample.bounds.size() ? FormatNumber(sample.bounds[i])
                                                : std::string("+Inf");
    text += sample.name + "_bucket" + FormatLabels(sample, bound) + " " +
            std::to_string(sample.counts[i]) + "\n";
  }
  const auto total = sample.counts.empty() ? 0 : sample.counts.back();
  text += sample.name + "_sum" + FormatLabels(sample, "") + " " +
          FormatNumber(sample.sum) + "\n";
  return text + sample.name + "_count" + FormatLabels(sample, "") + " " +
         std::to_string(total) + "\n";
}

auto RenderSample(const MetricSample& sample) -> std::string {
  if (!sample.bounds.empty()) {
    return RenderHistogram(sample);
  }
  return sample.name + FormatLabels(sample, "") + " " +
         FormatNumber(sample.value) + "\n";
}

}  // namespace

auto MetricStore::Replace(MetricsReported report) -> void {
  samples_[report.task] = std::move(report.samples);
}

auto MetricStore::Render() const -> std::string {
  // The text format requires all samples of a metric in one group.
  std::map<std::string_view, std::vector<const MetricSample*>> by_name;
  for (const auto& [task, samples] : samples_) {
    for (const auto& sample : samples) {
      by_name[sample.name].push_back(&sample);
    }
  }
  std::string text;
  for (const auto& [name, samples] : by_name) {
    text += "# HELP " + std::string(name) + " " + samples.front()->help + "\n";
    text += "# TYPE " + std::string(name) + " " +
            std::string(TypeOf(*samples.front())) + "\n";
    for (const auto* sample : samples) {
      text += RenderSample(*sample);
    }
  }
  return text;
}

}  // namespace flamingoyoke
