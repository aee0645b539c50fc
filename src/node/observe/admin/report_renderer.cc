#include "node/observe/admin/report_renderer.h"

#include <nlohmann/json.hpp>
#include <string_view>

#include "node/observe/admin/report_row.h"

namespace flamingoyoke {
namespace {

auto EscapeHtml(std::string_view text) -> std::string {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

auto QuoteCsv(std::string_view text) -> std::string {
  if (text.find_first_of(",\"\r\n") == std::string_view::npos) {
    return std::string(text);
  }
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"') {
      quoted += '"';
    }
    quoted += c;
  }
  return quoted + "\"";
}

auto TargetToJson(const TargetReport& target) -> nlohmann::json {
  return {{"target", target.target.value()},
          {"state", ToName(target.state)},
          {"reason", target.reason},
          {"since_ms", target.since_ms}};
}

auto ServiceToJson(const ServiceReport& service) -> nlohmann::json {
  auto targets = nlohmann::json::array();
  for (const auto& target : service.targets) {
    targets.push_back(TargetToJson(target));
  }
  return {{"service", service.service.value()},
          {"revision", service.revision.value()},
          {"healthy_share", service.healthy_share},
          {"floor", service.floor},
          {"slots_in_use", service.slots_in_use},
          {"slots", service.slots},
          {"queue_length", service.queue_length},
          {"answered", service.answered},
          {"rejected", service.rejected},
          {"retried", service.retried},
          {"unknown", service.unknown},
          {"short_wait_p99_ms", ToMilliseconds(service.short_wait_p99)},
          {"long_wait_p99_ms", ToMilliseconds(service.long_wait_p99)},
          {"targets", std::move(targets)}};
}

auto MemberToJson(const Member& member) -> nlohmann::json {
  return {{"vm", member.id.value()},
          {"incarnation", member.incarnation.value()},
          {"failure_domain", member.failure_domain.value()},
          {"address", member.address},
          {"liveness", ToName(member.liveness)},
          {"leaving", member.leaving},
          {"ready", member.ready}};
}

auto NodeToJson(const Report& report) -> nlohmann::json {
  nlohmann::json node = {
      {"vm", nullptr},      {"ready", false},
      {"leaving", false},   {"revision", 0},
      {"refused", nullptr}, {"members", nlohmann::json::array()}};
  if (report.refused) {
    node["refused"] = {{"revision", report.refused->revision.value()},
                       {"reason", report.refused->reason}};
  }
  if (!report.view) {
    return node;
  }
  node["vm"] = report.view->self.value();
  node["ready"] = report.view->ready;
  node["leaving"] = report.view->leaving;
  if (report.view->table) {
    node["revision"] = report.view->table->revision.value();
  }
  for (const auto& member : report.view->members) {
    node["members"].push_back(MemberToJson(member));
  }
  return node;
}

auto RenderHtmlRow(const std::vector<ReportCell>& cells) -> std::string {
  std::string row = "<tr>";
  for (const auto& cell : cells) {
    row += "<td>" + EscapeHtml(cell.text) + "</td>";
  }
  return row + "</tr>\n";
}

}  // namespace

auto RenderJson(const Report& report) -> std::string {
  auto document = NodeToJson(report);
  auto services = nlohmann::json::array();
  for (const auto& service : OrderedServices(report)) {
    services.push_back(ServiceToJson(service));
  }
  document["services"] = std::move(services);
  return document.dump(2, ' ', false,
                       nlohmann::json::error_handler_t::replace) +
         "\n";
}

auto RenderCsv(const Report& report) -> std::string {
  std::string header;
  for (const auto& cell : MakeReportRow({})) {
    header += (header.empty() ? "" : ",") + std::string(cell.column);
  }
  auto text = header + "\n";
  for (const auto& service : OrderedServices(report)) {
    std::string line;
    for (const auto& cell : MakeReportRow(service)) {
      line += (line.empty() ? "" : ",") + QuoteCsv(cell.text);
    }
    text += line + "\n";
  }
  return text;
}

auto RenderHtml(const Report& report) -> std::string {
  const auto node = NodeToJson(report);
  std::string page =
      "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>flamingoyoke</title><style>body{font-family:sans-serif}"
      "table{border-collapse:collapse}td,th{border:1px solid #999;"
      "padding:2px 6px;text-align:left}</style></head><body>\n<h1>vm " +
      EscapeHtml(report.view ? report.view->self.value() : "unknown") +
      "</h1>\n<p>Revision " + node["revision"].dump() + ", ready " +
      node["ready"].dump() + ", leaving " + node["leaving"].dump() + "</p>\n";
  if (report.refused) {
    page += "<p><strong>Refused revision " +
            std::to_string(report.refused->revision.value()) + ": " +
            EscapeHtml(report.refused->reason) + "</strong></p>\n";
  }
  page += "<table><tr>";
  for (const auto& cell : MakeReportRow({})) {
    page += "<th>" + std::string(cell.column) + "</th>";
  }
  page += "</tr>\n";
  for (const auto& service : OrderedServices(report)) {
    page += RenderHtmlRow(MakeReportRow(service));
  }
  return page + "</table>\n</body></html>\n";
}

}  // namespace flamingoyoke
