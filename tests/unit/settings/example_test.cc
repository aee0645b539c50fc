#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "settings/settings.h"

namespace flamingoyoke {
namespace {

// The shipped example settings must be valid.
Test(example, is_accepted) {
  std::ifstream stream(FLAMINGOYOKE_EXAMPLES "/settings.json");
  cr_assert(stream.is_open());
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  std::optional<Settings> settings;
  const auto error = CaptureInto(settings, [&] { return ReadSettings(text); });
  cr_assert_not(error.has_value());
  cr_assert_eq(settings->vm.id.value(), "entry-01");
}

}  // namespace
}  // namespace flamingoyoke
