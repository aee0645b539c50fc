#ifndef FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_RENDERER_H_
#define FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_RENDERER_H_

#include <string>

#include "node/observe/admin/report.h"

namespace flamingoyoke {

// The report in three forms, each with a row for each service in the order of
// the operators' table. Thread-safe.

// Returns a JSON object with the node, its members and its services.
auto RenderJson(const Report& report) -> std::string;

// Returns a CSV table with a header line.
auto RenderCsv(const Report& report) -> std::string;

// Returns an HTML page that needs nothing from elsewhere.
auto RenderHtml(const Report& report) -> std::string;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_RENDERER_H_
