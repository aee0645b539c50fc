#ifndef FLAMINGOYOKE_CLI_REPORT_TEXT_H_
#define FLAMINGOYOKE_CLI_REPORT_TEXT_H_

#include <string>

#include "core/result.h"

namespace flamingoyoke {

// Turns the JSON report of a vm into text for a terminal: the vm, its table
// and one row per service in the order of the table. Fails with
// kMalformedMessage if `json` is not such a report. Thread-safe.
auto RenderText(const std::string& json) -> Result<std::string>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_REPORT_TEXT_H_
