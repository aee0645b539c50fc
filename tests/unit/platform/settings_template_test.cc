#include <criterion/criterion.h>

#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <string>

#include "settings/settings.h"

namespace flamingoyoke::platform {
namespace {

using Values = std::map<std::string, std::string>;

// Values that the platform fills in where a test gives none.
const Values kTypical = {
    {"ip", "10.0.0.1"},
    {"zone", "a"},
    {"region", "north"},
    {"limits.cpu_share", "0.2"},
    {"limits.cores", "1"},
    {"limits.link_mbps", "1000.0"},
    {"limits.memory_mb", "260"},
    {"listen.front", "10.0.0.1:8381"},
    {"listen.control", "10.0.0.1:8382"},
    {"listen.ready", "10.0.0.1:8383"},
    {"listen.directory", "10.0.0.1:8384"},
    {"port_range.1", "7215"},
    {"platform.address", "10.0.0.2:80"},
    {"bounds.grace_s", "6"},
    {"bounds.floor_share", "0.7"},
    {"bounds.retry_budget_ratio", "0.2"},
    {"bounds.budget_slack", "56"},
};

// Renders the settings template of the deployment with one seed.
auto Render(const Values& values) -> std::string {
  std::ifstream stream(FLAMINGOYOKE_SETTINGS_TEMPLATE);
  std::ostringstream content;
  content << stream.rdbuf();
  auto text = content.str();
  const auto begin = text.find("{{#seeds}}");
  const std::string section_end = "{{/seeds}}";
  const auto end = text.find(section_end);
  cr_assert(begin != std::string::npos && end != std::string::npos);
  text.replace(begin, end + section_end.size() - begin, "\"10.0.0.2:8382\"");
  for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
    const auto close = text.find("}}", at);
    const auto name = text.substr(at + 2, close - at - 2);
    const auto given = values.find(name);
    const auto typical = kTypical.find(name);
    cr_assert(given != values.end() || typical != kTypical.end(),
              "no value for placeholder %s", name.c_str());
    text.replace(at, close + 2 - at,
                 given != values.end() ? given->second : typical->second);
  }
  return text;
}

auto Read(const Values& values, std::optional<Settings>& settings)
    -> std::optional<Error> {
  return CaptureInto(settings, [&] { return ReadSettings(Render(values)); });
}

// Guards against processes that do not start because the platform computed a
// number with a fraction.
Test(settings_template, accepts_fractions) {
  std::optional<Settings> settings;
  const auto error = Read({{"limits.cpu_share", "0.0703125"},
                           {"limits.cores", "1.5"},
                           {"limits.link_mbps", "10.25"},
                           {"limits.memory_mb", "112.640625"},
                           {"bounds.grace_s", "5.5"},
                           {"bounds.floor_share", "0.6666666666666666"},
                           {"bounds.retry_budget_ratio", "0.0625"},
                           {"bounds.budget_slack", "23.835616438356166"}},
                          settings);
  cr_assert_not(error.has_value(), "%s", error ? error->detail.c_str() : "");
  cr_assert_eq(settings->vm.cores, 1);
  cr_assert_eq(settings->vm.memory_mb, 112);
  cr_assert_eq(settings->gateway.retry_slack, 23);
  cr_assert(settings->shutdown.hard_limit == std::chrono::milliseconds(5500));
}

// Guards against processes that do not start because a bound is zero.
Test(settings_template, accepts_bounds_of_zero) {
  std::optional<Settings> settings;
  const auto error = Read({{"bounds.grace_s", "0"},
                           {"bounds.floor_share", "0"},
                           {"bounds.retry_budget_ratio", "0.0"},
                           {"bounds.budget_slack", "0"}},
                          settings);
  cr_assert_not(error.has_value(), "%s", error ? error->detail.c_str() : "");
  cr_assert(settings->shutdown.hard_limit == Duration::zero());
  cr_assert_eq(settings->gateway.retry_slack, 0);
}

// Guards against a message that does not say which value is unusable.
Test(settings_template, names_an_unusable_value) {
  std::optional<Settings> settings;
  const auto error = Read({{"limits.memory_mb", "0"}}, settings);
  cr_assert(error.has_value());
  cr_assert_str_eq(error->detail.c_str(),
                   "vm.memory_mb is 0 but must be a number of megabytes from "
                   "16.0 to 16000000.0");
}

}  // namespace
}  // namespace flamingoyoke::platform
