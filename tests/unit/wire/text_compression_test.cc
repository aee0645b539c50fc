#include "wire/text_compression.h"

#include <criterion/criterion.h>

#include "core/random.h"
#include "wire/published_codec.h"

namespace flamingoyoke {
namespace {

constexpr std::size_t kMaxSize = std::size_t{1} << 20;

auto MakeRegistry(std::size_t targets) -> Registry {
  Registry registry;
  Random random(7);
  for (std::size_t i = 0; i < targets; ++i) {
    RegisteredTarget target;
    target.id = TargetId("target-" + std::to_string(random.Below(1'000'000)));
    target.service = ServiceId("service-" + std::to_string(i % 5));
    target.host =
        "10.3." + std::to_string(i / 250) + "." + std::to_string(i % 250);
    target.port = 8080;
    target.slots = 4;
    registry.targets.push_back(target);
  }
  return registry;
}

auto Compressed(const std::string& text, const std::string& base)
    -> std::string {
  std::optional<std::string> bytes;
  const auto error =
      CaptureInto(bytes, [&] { return CompressText(text, base); });
  cr_assert(!error);
  return *bytes;
}

auto Expanded(const std::string& bytes,
              const std::string& base,
              std::size_t max_size = kMaxSize) -> std::optional<std::string> {
  std::optional<std::string> text;
  CaptureInto(text, [&] { return ExpandText(bytes, base, max_size); });
  return text;
}

// Guards against control traffic that grows with the registry instead of its
// changes.
Test(text_compression, few_changes_of_a_large_registry_take_few_bytes) {
  auto registry = MakeRegistry(3'000);
  const auto base = EncodeRegistry(registry);
  registry.targets[17].leaving = true;
  registry.targets[1'400].warming = true;
  registry.targets.erase(registry.targets.begin() + 2'000);
  registry.targets.push_back(MakeRegistry(3'001).targets.back());
  const auto text = EncodeRegistry(registry);
  const auto bytes = Compressed(text, base);
  cr_assert_lt(bytes.size(), 300U, "%zu of %zu bytes", bytes.size(),
               text.size());
  cr_assert(Expanded(bytes, base) == text);
}

// Guards against a start of all VMs that waits for whole registries.
Test(text_compression, registry_without_a_base_takes_a_third) {
  const auto text = EncodeRegistry(MakeRegistry(3'000));
  const auto bytes = Compressed(text, "");
  cr_assert_lt(bytes.size(), text.size() / 3, "%zu of %zu bytes", bytes.size(),
               text.size());
  cr_assert(Expanded(bytes, "") == text);
}

// Guards against a wrong table from a damaged message or another base, and
// against memory that a small message allocates.
Test(text_compression, rejects_what_does_not_expand_to_the_text) {
  const auto base = EncodeRegistry(MakeRegistry(100));
  auto registry = MakeRegistry(100);
  registry.targets[50].leaving = true;
  const auto bytes = Compressed(EncodeRegistry(registry), base);
  cr_assert(!Expanded(bytes, EncodeRegistry(MakeRegistry(99))));
  cr_assert(!Expanded(bytes, ""));
  cr_assert(!Expanded(bytes.substr(0, bytes.size() - 1), base));
  cr_assert(!Expanded("", base));
  const auto large = Compressed(std::string(kMaxSize, 'x'), "");
  cr_assert_lt(large.size(), 1'000U);
  cr_assert(!Expanded(large, "", kMaxSize - 1));
  cr_assert(Expanded(Compressed("", ""), "") == std::string());
}

}  // namespace
}  // namespace flamingoyoke
