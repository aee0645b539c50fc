#ifndef FLAMINGOYOKE_CORE_RANDOM_H_
#define FLAMINGOYOKE_CORE_RANDOM_H_

#include <cstdint>

namespace flamingoyoke {

// Seeded pseudo-random generator (SplitMix64). Produces the same sequence on
// every platform, unlike the distributions of the standard library. Not
// thread-safe; not cryptographically secure.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // Returns the next 64 random bits.
  auto Next() -> std::uint64_t {
    state_ += 0x9E3779B97F4A7C15ULL;
    auto bits = state_;
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EBULL;
    return bits ^ (bits >> 31);
  }

  // Returns a number in [0, bound). `bound` must be positive.
  auto Below(std::uint64_t bound) -> std::uint64_t { return Next() % bound; }

  // Returns a number in [0, 1).
  auto Unit() -> double {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(Next() >> 11) * kScale;
  }

 private:
  std::uint64_t state_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_RANDOM_H_
