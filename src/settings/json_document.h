#ifndef FLAMINGOYOKE_SETTINGS_JSON_DOCUMENT_H_
#define FLAMINGOYOKE_SETTINGS_JSON_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "core/result.h"

namespace flamingoyoke {

// Parses a JSON object that may contain comments. Rejects duplicate keys within
// an object, as nlohmann-json silently keeps only the last of them. Fails with
// kSettingsInvalid. Thread-safe.
auto ParseJsonObject(std::string_view text) -> Result<nlohmann::json>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_SETTINGS_JSON_DOCUMENT_H_
