#include "standins/upstream/upstream_behaviour.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace flamingoyoke::standin {
namespace {

using Json = nlohmann::json;
using Setter = std::function<void(const Json&, UpstreamBehaviour&)>;

auto ToDuration(const Json& value) -> Duration {
  return std::chrono::milliseconds(value.get<std::int64_t>());
}

template <typename E>
auto ToEnum(const Json& value) -> E {
  // Throws on an unknown name, as nlohmann-json does on a wrong type.
  return FromName<E>(value.get<std::string>()).value();
}

auto Setters() -> const std::map<std::string, Setter>& {
  static const std::map<std::string, Setter> setters = {
      {"slots", [](const Json& v, auto& b) { b.slots = v; }},
      {"queue_limit", [](const Json& v, auto& b) { b.queue_limit = v; }},
      {"service_ms",
       [](const Json& v, auto& b) { b.service_time = ToDuration(v); }},
      {"cold_start_ms",
       [](const Json& v, auto& b) { b.cold_start = ToDuration(v); }},
      {"drain", [](const Json& v, auto& b) { b.drain = v; }},
      {"shed", [](const Json& v, auto& b) { b.shed = v; }},
      {"gray_share", [](const Json& v, auto& b) { b.gray_share = v; }},
      {"gray_kind",
       [](const Json& v, auto& b) { b.gray_kind = ToEnum<GrayKind>(v); }},
      {"health",
       [](const Json& v, auto& b) { b.health = ToEnum<HealthAnswer>(v); }},
      {"reported_load",
       [](const Json& v, auto& b) {
         b.reported_load = v.is_null() ? std::optional<double>()
                                       : std::optional<double>(v.get<double>());
       }},
  };
  return setters;
}

}  // namespace

auto ApplyBehaviour(const Json& fields, UpstreamBehaviour& behaviour)
    -> Result<void> {
  auto changed = behaviour;
  try {
    for (const auto& [name, value] : fields.items()) {
      Setters().at(name)(value, changed);
    }
  } catch (const std::exception& exception) {
    return Fail(ErrorKind::kSettingsInvalid, exception.what());
  }
  behaviour = changed;
  return {};
}

}  // namespace flamingoyoke::standin
