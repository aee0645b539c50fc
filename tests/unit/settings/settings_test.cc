#include "settings/settings.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>

#include "core/random.h"

namespace flamingoyoke {
namespace {

constexpr int kMutatedTexts = 10'000;
constexpr const char* kKey = "0123456789abcdefghijABCDEFGHIJ.-:+=^!/*?";

// Returns settings with only the required fields, plus the groups in `extra`.
auto Minimal(const std::string& extra) -> std::string {
  return R"({"vm": {"id": "vm-1", "failure_domain": "a", "region": "north"},
    "caller": {"address": "127.0.0.1:8080"},
    "mesh": {"address": "127.0.0.1:7000"},
    "admin": {"address": "127.0.0.1:9000"},
    "platform": {"address": "127.0.0.1:6000"})" +
         extra + "}";
}

auto Read(const std::string& text, std::optional<Settings>& settings)
    -> std::optional<Error> {
  return CaptureInto(settings, [&] { return ReadSettings(text); });
}

// Returns the detail of the error, or an empty string if `text` is accepted.
auto Detail(const std::string& text) -> std::string {
  std::optional<Settings> settings;
  const auto error = Read(text, settings);
  if (!error) {
    return {};
  }
  cr_assert(error->kind == ErrorKind::kSettingsInvalid);
  return error->detail;
}

auto Contains(const std::string& text, const std::string& part) -> bool {
  return text.find(part) != std::string::npos;
}

// Missing fields must have the documented defaults.
Test(settings, uses_defaults_for_absent_fields) {
  std::optional<Settings> settings;
  cr_assert_not(Read(Minimal(""), settings).has_value());
  cr_assert_eq(settings->vm.id.value(), "vm-1");
  cr_assert_eq(settings->caller.address.endpoint.port, 8080);
  cr_assert_eq(settings->caller.max_connections, 1024);
  cr_assert(settings->caller.address_ttl == std::chrono::seconds(5));
  cr_assert_not(settings->mesh.keys.has_value());
  cr_assert_eq(settings->platform.table_keys.size(), 1);
  cr_assert_eq(settings->platform.table_keys.front(), "table");
  cr_assert(settings->shutdown.hard_limit == std::chrono::seconds(60));
  cr_assert(settings->log.level == LogLevel::kInfo);
  cr_assert_eq(settings->trace.sample_rate, 0);
}

// Each field must be read into its own member.
Test(settings, reads_every_field) {
  std::optional<Settings> settings;
  const auto error = Read(std::string(R"({ // A comment.
    "vm": {"id": "v", "failure_domain": "f", "region": "r",
      "processor_share": 0.125, "cores": 3, "link_mbps": 10.5,
      "memory_mb": 160},
    "caller": {"address": "[::1]:1", "max_connections": 2,
      "max_header_bytes": 2048, "idle_timeout_ms": 400,
      "body_budget_bytes": 5000000, "address_ttl_ms": 600},
    "mesh": {"address": "10.0.0.1:7", "public_key": ")") +
                              kKey + R"(", "secret_key": ")" + kKey + R"("},
    "admin": {"address": "10.0.0.1:8"},
    "platform": {"address": "10.0.0.1:9", "table_keys": ["t0", "t1"],
      "watch_timeout_ms": 10000}, /* Another comment. */
    "shutdown": {"hard_limit_ms": 11},
    "log": {"level": "error", "format": "json"},
    "trace": {"sample_rate": 0.25, "file": "/tmp/spans"}})",
                          settings);
  cr_assert_not(error.has_value());
  cr_assert_eq(settings->vm.processor_share, 0.125);
  cr_assert_eq(settings->vm.cores, 3);
  cr_assert_eq(settings->vm.link_mbps, 10.5);
  cr_assert_eq(settings->vm.memory_mb, 160);
  cr_assert_eq(settings->caller.address.host, "::1");
  cr_assert_eq(settings->caller.max_connections, 2);
  cr_assert_eq(settings->caller.max_header_bytes, 2048);
  cr_assert(settings->caller.idle_timeout == std::chrono::milliseconds(400));
  cr_assert_eq(settings->caller.body_budget_bytes, 5'000'000);
  cr_assert(settings->caller.address_ttl == std::chrono::milliseconds(600));
  cr_assert_eq(settings->mesh.address.text, "10.0.0.1:7");
  cr_assert_eq(settings->mesh.keys->public_key, kKey);
  cr_assert_eq(settings->admin.address.endpoint.port, 8);
  cr_assert_eq(settings->platform.address.endpoint.port, 9);
  cr_assert_eq(settings->platform.table_keys.at(1), "t1");
  cr_assert(settings->platform.watch_timeout == std::chrono::seconds(10));
  cr_assert(settings->shutdown.hard_limit == std::chrono::milliseconds(11));
  cr_assert(settings->log.level == LogLevel::kError);
  cr_assert(settings->log.format == LogFormat::kJson);
  cr_assert_eq(settings->trace.sample_rate, 0.25);
  cr_assert_eq(settings->trace.file, "/tmp/spans");
}

struct BadField {
  const char* extra;
  const char* path;
  const char* rule;
};

// Errors must name the field and the accepted values.
Test(settings, names_path_unit_and_range) {
  const BadField bad_fields[] = {
      {R"("shutdown": {"hard_limit_ms": -1})", "shutdown.hard_limit_ms",
       "milliseconds from 0 to 3600000"},
      {R"("shutdown": {"hard_limit_ms": 1.5})", "shutdown.hard_limit_ms",
       "milliseconds from 0 to 3600000"},
      {R"("log": {"level": "loud"})", "log.level",
       "debug, info, warning, error"},
      {R"("log": {"format": 1})", "log.format", "text, json"},
      {R"("trace": {"sample_rate": 1.01})", "trace.sample_rate",
       "share from 0 to 1"},
      {R"("trace": {"file": "a\nb"})", "trace.file", "control characters"},
      {R"("trace": {"fil": "a"})", "trace.\"fil\"", "file, sample_rate"},
      {R"("trace": [])", "trace", "must be an object"},
      {R"("spans": {})", "\"spans\"", "the groups are"},
  };
  for (const auto& bad : bad_fields) {
    const auto detail = Detail(Minimal(std::string(", ") + bad.extra));
    cr_assert(Contains(detail, bad.path), "%s: %s", bad.extra, detail.c_str());
    cr_assert(Contains(detail, bad.rule), "%s: %s", bad.extra, detail.c_str());
  }
}

// Validation must not stop at the first missing field.
Test(settings, lists_all_missing_fields) {
  const auto detail = Detail("{}");
  for (const auto* path :
       {"vm.id", "vm.failure_domain", "vm.region", "caller.address",
        "mesh.address", "admin.address", "platform.address"}) {
    cr_assert(Contains(detail, std::string(path) + " is missing"));
  }
}

// Host names need a lookup and peers cannot connect to port 0, so both must be
// rejected.
Test(settings, rejects_addresses_that_are_not_ip_numbers) {
  for (const auto* address : {"localhost:1", "10.0.0.1", "10.0.0.1:0", ""}) {
    auto text = Minimal("");
    text.replace(text.find("127.0.0.1:7000"), 14, address);
    cr_assert(Contains(Detail(text), "mesh.address"), "%s", address);
  }
}

// Half a key pair must be rejected; otherwise the process runs unencrypted. The
// error must not contain the secret key, as it is logged.
Test(settings, checks_keys_without_showing_them) {
  auto text = Minimal("");
  const std::string mesh = R"("mesh": {"address": "127.0.0.1:7000")";
  text.replace(text.find(mesh), mesh.size(),
               mesh + R"(, "secret_key": "hunter2 hunter2")");
  const auto detail = Detail(text);
  cr_assert(Contains(detail, "mesh.secret_key"));
  cr_assert(Contains(detail, "set together"));
  cr_assert_not(Contains(detail, "hunter2"));
}

// Duplicate keys must be rejected instead of silently using the last one.
Test(settings, rejects_a_key_that_appears_twice) {
  const auto detail = Detail(Minimal(R"(, "log": {}, "log": {})"));
  cr_assert(Contains(detail, "`log` appears twice"));
}

// Table keys that are not valid in a URL must be rejected.
Test(settings, rejects_bad_table_keys) {
  for (const auto* keys :
       {"[]", "[\"a/b\"]", "[1]", "\"table\"", "[\"t\", \"t\"]"}) {
    auto text = Minimal("");
    const std::string platform = R"("platform": {)";
    text.replace(text.find(platform), platform.size(),
                 platform + R"("table_keys": )" + keys + ", ");
    cr_assert(Contains(Detail(text), "platform.table_keys"), "%s", keys);
  }
}

// Exceptions of the JSON library must not escape from ReadSettings.
Test(settings, rejects_text_that_is_not_json) {
  for (const auto* text :
       {"", "{", "[]", "null", "{\"vm\": }", "\xff", "{}x"}) {
    cr_assert_not(Detail(text).empty(), "%s", text);
  }
  cr_assert_not(Detail(std::string(kMaxSettingsBytes + 1, ' ')).empty());
  cr_assert_not(Detail(std::string(kMaxSettingsBytes, '[')).empty());
}

// Mutated settings must not cause crashes.
Test(settings, handles_mutated_text) {
  const auto good = Minimal(R"(, "log": {"level": "info"})");
  Random random(2);
  for (int iteration = 0; iteration < kMutatedTexts; ++iteration) {
    auto text = good;
    text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    std::optional<Settings> settings;
    const auto error = Read(text, settings);
    cr_assert_neq(error.has_value(), settings.has_value());
  }
}

}  // namespace
}  // namespace flamingoyoke
