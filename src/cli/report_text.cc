#include "cli/report_text.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "cli/text_table.h"

namespace flamingoyoke {
namespace {

using Json = nlohmann::json;

// Columns of the service table, with the field names of the JSON report.
const std::vector<std::string> kColumns = {
    "service",         "revision",     "healthy_share", "floor",
    "slots",           "slots_in_use", "queue_length",  "answered",
    "rejected",        "retried",      "unknown",       "short_wait_p99_ms",
    "long_wait_p99_ms"};

auto ToText(const Json& value) -> std::string {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

auto Count(const Json& members, const char* liveness) -> std::size_t {
  std::size_t count = 0;
  for (const auto& member : members) {
    count += member.at("liveness") == liveness ? 1 : 0;
  }
  return count;
}

auto RenderNode(const Json& report) -> std::string {
  const auto& members = report.at("members");
  auto text = "VM " + ToText(report.at("vm")) + ", ready " +
              ToText(report.at("ready")) + ", leaving " +
              ToText(report.at("leaving")) + ", table revision " +
              ToText(report.at("revision")) + ", " +
              std::to_string(Count(members, "alive")) + " of " +
              std::to_string(members.size()) + " members alive\n";
  const auto& refused = report.at("refused");
  if (!refused.is_null()) {
    text += "refused table revision " + ToText(refused.at("revision")) + ": " +
            ToText(refused.at("reason")) + "\n";
  }
  return text;
}

auto RenderServices(const Json& services) -> std::string {
  TextTable table(kColumns);
  std::string targets;
  for (const auto& service : services) {
    std::vector<std::string> row;
    row.reserve(kColumns.size());
    for (const auto& column : kColumns) {
      row.push_back(ToText(service.at(column)));
    }
    table.Add(std::move(row));
    for (const auto& target : service.at("targets")) {
      const auto reason = ToText(target.at("reason"));
      if (!reason.empty()) {
        targets += ToText(service.at("service")) + " target " +
                   ToText(target.at("target")) + " is " +
                   ToText(target.at("state")) + ": " + reason + "\n";
      }
    }
  }
  return table.ToText() + targets;
}

}  // namespace

auto RenderText(const std::string& json) -> Result<std::string> {
  try {
    const auto report = Json::parse(json);
    return RenderNode(report) + RenderServices(report.at("services"));
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::kMalformedMessage,
                std::string("the response is not a report (") + error.what() +
                    "); check that the address is the VM's admin.address");
  }
}

}  // namespace flamingoyoke
