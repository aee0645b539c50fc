#include "settings/json_document.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingoyoke {
namespace {

using Json = nlohmann::json;

// Tracks the keys of the enclosing objects during parsing to detect duplicates.
class DuplicateKeyDetector {
 public:
  auto OnEvent(Json::parse_event_t event, const Json& parsed) -> void {
    if (event == Json::parse_event_t::object_start) {
      keys_.emplace_back();
    }
    if (event == Json::parse_event_t::object_end) {
      keys_.pop_back();
    }
    if (event == Json::parse_event_t::key &&
        !keys_.back().insert(parsed.get<std::string>()).second) {
      duplicate_ = parsed.get<std::string>();
    }
  }

  // Returns a duplicate key, or an empty string.
  [[nodiscard]] auto duplicate() const -> const std::string& {
    return duplicate_;
  }

 private:
  std::vector<std::set<std::string>> keys_;
  std::string duplicate_;
};

}  // namespace

auto ParseJsonObject(std::string_view text) -> Result<nlohmann::json> {
  DuplicateKeyDetector detector;
  const auto on_event = [&](int /*depth*/, Json::parse_event_t event,
                            const Json& parsed) {
    detector.OnEvent(event, parsed);
    return true;
  };
  Json document;
  try {
    document = Json::parse(text, on_event, /*allow_exceptions=*/true,
                           /*ignore_comments=*/true);
  } catch (const Json::exception& error) {
    return Fail(
        ErrorKind::kSettingsInvalid,
        std::string("the settings are not valid JSON: ") + error.what());
  }
  if (!detector.duplicate().empty()) {
    return Fail(ErrorKind::kSettingsInvalid,
                "the key `" + detector.duplicate() + "` appears twice");
  }
  if (!document.is_object()) {
    return Fail(ErrorKind::kSettingsInvalid,
                "the settings must be a JSON object");
  }
  return document;
}

}  // namespace flamingoyoke
