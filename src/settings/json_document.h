#ifndef FLAMINGOYOKE_SETTINGS_JSON_DOCUMENT_H_
#define FLAMINGOYOKE_SETTINGS_JSON_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "core/result.h"

namespace flamingoyoke {

// Parses JSON with comments whose outermost value is an object. Refuses a key
// that appears twice in one object, of which nlohmann-json would silently keep
// the last. Fails with kSettingsInvalid. Thread-safe.
auto ParseJsonObject(std::string_view text) -> Result<nlohmann::json>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_SETTINGS_JSON_DOCUMENT_H_
