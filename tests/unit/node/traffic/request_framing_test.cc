#include <criterion/criterion.h>

#include <cstdint>
#include <string>

#include "fuzz/request_framing.h"
#include "support/environment.h"

namespace flamingoyoke {
namespace {

TestSuite(request_framing, .timeout = 300);

// Streams for each run of the test; FLAMINGOYOKE_FRAMING_STREAMS and
// FLAMINGOYOKE_FRAMING_SEED set the size and the seed of longer runs.
constexpr std::uint64_t kStreams = 20'000;
constexpr std::uint64_t kSeed = 1;

}  // namespace

// Guards against requests that are hidden in others: evhttp must never find
// other requests in a stream than the scanner, which decides what is passed on.
Test(request_framing, both_parsers_find_the_same_requests) {
  const auto streams =
      FromEnvironment("FLAMINGOYOKE_FRAMING_STREAMS", kStreams);
  const auto seed = FromEnvironment("FLAMINGOYOKE_FRAMING_SEED", kSeed);
  FramingGenerator generator(seed);
  FramingCheck check;
  for (std::uint64_t i = 0; i < streams; ++i) {
    const auto pieces = generator.Next();
    const auto difference = check.Run(pieces);
    if (!difference) {
      continue;
    }
    std::string text;
    for (const auto& piece : pieces) {
      text += piece + "|";
    }
    cr_assert_fail(
        "stream %lu of seed %lu: %s\n%s", static_cast<unsigned long>(i),
        static_cast<unsigned long>(seed), difference->c_str(), text.c_str());
  }
}

}  // namespace flamingoyoke
