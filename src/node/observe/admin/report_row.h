#ifndef FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_ROW_H_
#define FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_ROW_H_

#include <string>
#include <string_view>
#include <vector>

#include "node/observe/admin/report.h"

namespace flamingoyoke {

// A cell of the report and the name of its column.
struct ReportCell {
  std::string_view column;
  std::string text;
};

// Returns the cells of one service in the order of the report's columns.
// Thread-safe.
auto MakeReportRow(const ServiceReport& service) -> std::vector<ReportCell>;

// Returns the services of `report` in the order of the table in force, without
// services that this node does not serve.
auto OrderedServices(const Report& report) -> std::vector<ServiceReport>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_ROW_H_
