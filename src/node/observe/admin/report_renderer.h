#ifndef FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_RENDERER_H_
#define FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_RENDERER_H_

#include <string>

#include "node/observe/admin/report.h"

namespace flamingoyoke {

// Renders the report in three formats. Each lists the services in the order of
// the table in force. All functions are thread-safe.

// Returns a JSON object with the node, its members and its services.
auto RenderJson(const Report& report) -> std::string;

// Returns the services as CSV with a header line.
auto RenderCsv(const Report& report) -> std::string;

// Returns a self-contained HTML page.
auto RenderHtml(const Report& report) -> std::string;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_RENDERER_H_
