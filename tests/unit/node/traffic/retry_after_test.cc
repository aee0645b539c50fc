#include "node/traffic/retry_after.h"

#include <criterion/criterion.h>

#include <chrono>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sun, 06 Nov 1994 08:49:37 GMT.
constexpr std::int64_t kWallMs = 784'111'777'000;

auto Parse(const char* value) -> std::optional<Duration> {
  return ParseRetryAfter(value, kWallMs);
}

}  // namespace

Test(retry_after, reads_seconds_and_dates) {
  cr_assert(Parse("5") == Duration(seconds(5)));
  cr_assert(Parse(" 0.25 ") == Duration(milliseconds(250)));
  cr_assert(Parse("1.0001") == Duration(seconds(1)));
  cr_assert(Parse("Sun, 06 Nov 1994 08:49:47 GMT") == Duration(seconds(10)));
}

// Guards against a target that a faulty value takes out of service for good, or
// a negative time.
Test(retry_after, bounds_absurd_values) {
  cr_assert(Parse("99999999999999999") == kMaxRetryAfter);
  cr_assert(Parse("Sun, 06 Nov 2094 08:49:47 GMT") == kMaxRetryAfter);
  for (const auto* value :
       {"", "-5", "0", "+5", "5s", "1e3", ".", "1.", "nan", "0x10",
        "Sun, 06 Nov 1994 08:49:27 GMT", "Sun, 06 Nov 1994"}) {
    cr_assert_not(Parse(value).has_value(), "accepted: %s", value);
  }
}

Test(retry_after, the_longest_of_several_values_counts) {
  const HttpHeaders headers = {
      {"Retry-After", "2"}, {"retry-after", "7"}, {"Retry-After", "-9"}};
  cr_assert(FindRetryAfter(headers, kWallMs) == Duration(seconds(7)));
  cr_assert_not(FindRetryAfter({{"Other", "1"}}, kWallMs).has_value());
}

}  // namespace flamingoyoke
