#ifndef FLAMINGOYOKE_CLI_REPORT_TEXT_H_
#define FLAMINGOYOKE_CLI_REPORT_TEXT_H_

#include <string>

#include "core/result.h"

namespace flamingoyoke {

// Formats the JSON report of a VM for a terminal: the VM, its table revision
// and one row per service in table order. Fails with kMalformedMessage if
// `json` is not a report. Thread-safe.
auto RenderText(const std::string& json) -> Result<std::string>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_REPORT_TEXT_H_
