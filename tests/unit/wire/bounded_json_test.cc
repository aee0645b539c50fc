#include "wire/bounded_json.h"

#include <criterion/criterion.h>

#include <stdexcept>
#include <string>

namespace flamingoyoke {

// Documents up to the limit must stay readable, and deeper ones must be
// rejected before they are built in memory.
Test(bounded_json, limits_the_depth) {
  const auto nested = [](int depth) {
    const auto size = static_cast<std::size_t>(depth);
    return std::string(size, '[') + std::string(size, ']');
  };
  cr_assert(ParseBoundedJson(nested(kMaxJsonDepth)).is_array());
  cr_assert_throw(ParseBoundedJson(nested(kMaxJsonDepth + 2)),
                  std::length_error);
  cr_assert_throw(ParseBoundedJson(nested(1'000'000)), std::length_error);
}

Test(bounded_json, reads_whole_numbers_in_range_only) {
  const auto read = [](const std::string& text) {
    return ReadWholeNumber(ParseBoundedJson(text), "count", 1, 100);
  };
  cr_assert_eq(read("1"), 1U);
  cr_assert_eq(read("100"), 100U);
  cr_assert_eq(read("7.0"), 7U);
  for (const auto* text :
       {"0", "101", "-1", "2.5", "1e300", "18446744073709551615", "\"7\"",
        "null", "[7]", "true"}) {
    cr_assert_throw(read(text), std::out_of_range, "%s", text);
  }
}

Test(bounded_json, reads_durations_in_range_only) {
  const auto read = [](const std::string& text) {
    return ReadMilliseconds(ParseBoundedJson(text), "timeout");
  };
  cr_assert(read("1200") == std::chrono::milliseconds(1200));
  cr_assert(read("0.5") == std::chrono::microseconds(500));
  for (const auto* text : {"-1", "1e300", "86400001", "\"7\"", "null"}) {
    cr_assert_throw(read(text), std::out_of_range, "%s", text);
  }
}

}  // namespace flamingoyoke
