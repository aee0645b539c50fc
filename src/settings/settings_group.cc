#include "settings/settings_group.h"

#include <algorithm>
#include <utility>

#include "core/name_rule.h"

namespace flamingoyoke {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxDisplayedLength = 120;
constexpr std::size_t kMaxNames = 64;
constexpr std::size_t kCurveKeyLength = 40;
// Z85 alphabet (ZeroMQ RFC 32).
constexpr std::string_view kZ85Alphabet =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#";

// Formats `value` as a single line of ASCII, truncated if too long.
auto ToDisplayText(const Json& value) -> std::string {
  auto text = value.dump(-1, ' ', /*ensure_ascii=*/true,
                         Json::error_handler_t::replace);
  if (text.size() > kMaxDisplayedLength) {
    text.resize(kMaxDisplayedLength);
    text += "...";
  }
  return text;
}

auto IsNameValue(const Json& value) -> bool {
  return value.is_string() && IsValidName(value.get_ref<const std::string&>());
}

}  // namespace

SettingsGroup::SettingsGroup(const Json& document,
                             std::string name,
                             Faults& faults)
    : name_(std::move(name)), faults_(faults) {
  const auto found = document.find(name_);
  if (found == document.end()) {
    return;
  }
  if (!found->is_object()) {
    faults_.push_back(name_ + " must be an object but is " +
                      ToDisplayText(*found));
    return;
  }
  fields_ = &*found;
}

auto SettingsGroup::Name(const char* field) -> std::string {
  const auto* value = Find(field);
  if (value == nullptr || !IsNameValue(*value)) {
    AddFault(field, value, std::string("must be a name: ") + kNameRule);
    return {};
  }
  return value->get<std::string>();
}

auto SettingsGroup::Address(const char* field) -> NamedEndpoint {
  const auto* value = Find(field);
  const auto address = value != nullptr && value->is_string()
                           ? ParseEndpoint(value->get<std::string>())
                           : std::nullopt;
  if (!address || address->endpoint.port == 0) {
    AddFault(field, value,
             "must be an IP address with a port from 1 to 65535, for example "
             "\"10.0.0.1:8080\"");
    return {};
  }
  return *address;
}

auto SettingsGroup::Integer(const char* field,
                            IntegerFieldRange range,
                            std::uint64_t fallback) -> std::uint64_t {
  const auto* value = Find(field);
  if (value == nullptr) {
    return fallback;
  }
  const auto count =
      value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
  if (!value->is_number_unsigned() || count < range.min || count > range.max) {
    AddFault(field, value,
             "must be a whole number of " + std::string(range.unit) + " from " +
                 std::to_string(range.min) + " to " +
                 std::to_string(range.max));
    return fallback;
  }
  return count;
}

auto SettingsGroup::Number(const char* field,
                           NumberFieldRange range,
                           double fallback) -> double {
  const auto* value = Find(field);
  if (value == nullptr) {
    return fallback;
  }
  const auto number = value->is_number() ? value->get<double>() : range.min;
  if (!value->is_number() || !(number >= range.min && number <= range.max)) {
    AddFault(field, value,
             "must be a number of " + std::string(range.unit) + " from " +
                 nlohmann::json(range.min).dump() + " to " +
                 nlohmann::json(range.max).dump());
    return fallback;
  }
  return number;
}

auto SettingsGroup::WholePart(const char* field,
                              IntegerFieldRange range,
                              std::uint64_t fallback) -> std::uint64_t {
  const NumberFieldRange numbers{static_cast<double>(range.min),
                                 static_cast<double>(range.max), range.unit};
  return static_cast<std::uint64_t>(
      Number(field, numbers, static_cast<double>(fallback)));
}

auto SettingsGroup::Milliseconds(const char* field,
                                 IntegerFieldRange range,
                                 Duration fallback) -> Duration {
  const auto count = Integer(
      field, range, static_cast<std::uint64_t>(ToMilliseconds(fallback)));
  return std::chrono::milliseconds(count);
}

auto SettingsGroup::Seconds(const char* field,
                            NumberFieldRange range,
                            Duration fallback) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Number(field, range, ToSeconds(fallback))));
}

auto SettingsGroup::Share(const char* field, double fallback) -> double {
  const auto* value = Find(field);
  if (value == nullptr) {
    return fallback;
  }
  const auto share = value->is_number() ? value->get<double>() : -1;
  if (share < 0 || share > 1) {
    AddFault(field, value, "must be a share from 0 to 1");
    return fallback;
  }
  return share;
}

auto SettingsGroup::Names(const char* field, std::vector<std::string> fallback)
    -> std::vector<std::string> {
  const auto* value = Find(field);
  if (value == nullptr) {
    return fallback;
  }
  const bool is_list = value->is_array() && !value->empty() &&
                       value->size() <= kMaxNames &&
                       std::all_of(value->begin(), value->end(), IsNameValue);
  if (!is_list) {
    AddFault(field, value,
             std::string("must be a list of 1 to 64 names: ") + kNameRule);
    return fallback;
  }
  auto names = value->get<std::vector<std::string>>();
  if (std::set<std::string>(names.begin(), names.end()).size() !=
      names.size()) {
    AddFault(field, value, "must not list a name twice");
  }
  return names;
}

auto SettingsGroup::Addresses(const char* field) -> std::vector<NamedEndpoint> {
  const auto* value = Find(field);
  std::vector<NamedEndpoint> addresses;
  if (value == nullptr) {
    return addresses;
  }
  const bool is_list = value->is_array() && value->size() <= kMaxNames;
  if (is_list) {
    for (const auto& each : *value) {
      auto address = each.is_string() ? ParseEndpoint(each.get<std::string>())
                                      : std::nullopt;
      if (address && address->endpoint.port != 0) {
        addresses.push_back(std::move(*address));
      }
    }
  }
  if (!is_list || addresses.size() != value->size()) {
    AddFault(field, value,
             "must be a list of at most 64 IP addresses, each with a port");
  }
  return addresses;
}

auto SettingsGroup::Text(const char* field, std::size_t max_length)
    -> std::string {
  const auto* value = Find(field);
  if (value == nullptr) {
    return {};
  }
  auto text = value->is_string() ? value->get<std::string>() : "";
  const bool has_control_character = std::any_of(
      text.begin(), text.end(), [](char c) { return c >= 0 && c < ' '; });
  if (!value->is_string() || text.size() > max_length ||
      has_control_character) {
    AddFault(field, value,
             "must be text of at most " + std::to_string(max_length) +
                 " bytes without control characters");
    return {};
  }
  return text;
}

auto SettingsGroup::CurveKey(const char* field) -> std::optional<std::string> {
  const auto* value = Find(field);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto key = value->is_string() ? value->get<std::string>() : "";
  if (key.size() != kCurveKeyLength ||
      key.find_first_not_of(kZ85Alphabet) != std::string::npos) {
    faults_.push_back(name_ + "." + field +
                      " must be a CURVE key of 40 Z85 characters (the value "
                      "is not shown)");
  }
  return key;
}

auto SettingsGroup::AddUnknownFieldFaults() -> void {
  if (fields_ == nullptr) {
    return;
  }
  std::string field_names;
  for (const auto& field : requested_fields_) {
    field_names += (field_names.empty() ? "" : ", ") + field;
  }
  for (const auto& [field, value] : fields_->items()) {
    if (requested_fields_.count(field) == 0) {
      faults_.push_back(name_ + "." + ToDisplayText(field) +
                        " is unknown; the fields of " + name_ + " are " +
                        field_names);
    }
  }
}

auto SettingsGroup::AddFault(const std::string& field,
                             const Json* value,
                             const std::string& requirement) -> void {
  const auto problem = value == nullptr
                           ? " is missing; it "
                           : " is " + ToDisplayText(*value) + " but ";
  faults_.push_back(name_ + "." + field + problem + requirement);
}

auto SettingsGroup::Find(const char* field) -> const Json* {
  requested_fields_.insert(field);
  if (fields_ == nullptr) {
    return nullptr;
  }
  const auto found = fields_->find(field);
  return found == fields_->end() ? nullptr : &*found;
}

}  // namespace flamingoyoke
