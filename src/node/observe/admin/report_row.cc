#include "node/observe/admin/report_row.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <unordered_map>

namespace flamingoyoke {
namespace {

auto FormatShare(double share) -> std::string {
  std::array<char, 16> text = {};
  std::snprintf(text.data(), text.size(), "%.3f", share);
  return text.data();
}

auto FormatMilliseconds(Duration duration) -> std::string {
  return std::to_string(ToMilliseconds(duration));
}

// Lists the unhealthy targets with state and reason.
auto FormatTargets(const std::vector<TargetReport>& targets) -> std::string {
  std::string text;
  for (const auto& target : targets) {
    if (target.state == TargetState::kHealthy) {
      continue;
    }
    if (!text.empty()) {
      text += "; ";
    }
    text += target.target.value() + " " + std::string(ToName(target.state)) +
            " since " + std::to_string(target.since_ms) + ": " + target.reason;
  }
  return text;
}

}  // namespace

auto MakeReportRow(const ServiceReport& service) -> std::vector<ReportCell> {
  return {
      {"service", service.service.value()},
      {"revision", std::to_string(service.revision.value())},
      {"healthy_share", FormatShare(service.healthy_share)},
      {"floor", FormatShare(service.floor)},
      {"slots_in_use", std::to_string(service.slots_in_use)},
      {"slots", std::to_string(service.slots)},
      {"queue_length", std::to_string(service.queue_length)},
      {"answered", std::to_string(service.answered)},
      {"rejected", std::to_string(service.rejected)},
      {"retried", std::to_string(service.retried)},
      {"unknown", std::to_string(service.unknown)},
      {"short_wait_p99_ms", FormatMilliseconds(service.short_wait_p99)},
      {"long_wait_p99_ms", FormatMilliseconds(service.long_wait_p99)},
      {"unhealthy_targets", FormatTargets(service.targets)},
  };
}

auto OrderedServices(const Report& report) -> std::vector<ServiceReport> {
  auto services = report.services;
  if (!report.view || !report.view->table) {
    return services;
  }
  std::unordered_map<ServiceId, std::size_t> positions;
  for (const auto& row : report.view->table->rows) {
    positions.emplace(row.service, positions.size());
  }
  const auto position = [&](const ServiceReport& service) {
    const auto found = positions.find(service.service);
    return found == positions.end() ? positions.size() : found->second;
  };
  std::stable_sort(services.begin(), services.end(),
                   [&](const ServiceReport& a, const ServiceReport& b) {
                     return position(a) < position(b);
                   });
  return services;
}

}  // namespace flamingoyoke
