#include "node/mailbox_reporter.h"

#include <utility>

#include "core/name_table.h"
#include "node/log.h"

namespace flamingoyoke {

auto MailboxReporter::Report() -> std::vector<MetricSample> {
  const std::vector<std::pair<Part, std::uint64_t>> shed = {
      {Part::kTraffic, mailboxes_.traffic.shed_count()},
      {Part::kFleet, mailboxes_.fleet.shed_count()},
      {Part::kMesh, mailboxes_.mesh.shed_count()},
      {Part::kPlatform, mailboxes_.platform.shed_count()},
      {Part::kAdmin, mailboxes_.admin.shed_count()},
      {Part::kTelemetry, mailboxes_.telemetry.shed_count()},
  };
  std::vector<MetricSample> samples;
  for (const auto& [part, count] : shed) {
    const std::string name(ToName(part));
    const auto before = std::exchange(logged_[name], count);
    if (count > before) {
      Log(Part::kNode, LogLevel::kWarning,
          "mailbox of " + name + " is full: dropped " +
              std::to_string(count - before) + " messages");
    }
    samples.push_back({.name = "flamingoyoke_mailbox_shed_total",
                       .help = "Messages dropped at a full mailbox.",
                       .label_name = "mailbox",
                       .label_value = name,
                       .value = static_cast<double>(count)});
  }
  return samples;
}

}  // namespace flamingoyoke
