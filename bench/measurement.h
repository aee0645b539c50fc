#ifndef FLAMINGOYOKE_BENCH_MEASUREMENT_H_
#define FLAMINGOYOKE_BENCH_MEASUREMENT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/name_table.h"

namespace flamingoyoke {

// Direction of the bound of a figure.
enum class BoundKind {
  kNone,     // Reported only.
  kAtMost,   // The figure must not exceed the bound.
  kAtLeast,  // The figure must not fall below the bound.
};

template <>
struct EnumNames<BoundKind> {
  static constexpr auto kTable = std::to_array<NameEntry<BoundKind>>({
      {BoundKind::kNone, "none"},
      {BoundKind::kAtMost, "at-most"},
      {BoundKind::kAtLeast, "at-least"},
  });
};
static_assert(IsDense<BoundKind>());

// Figure of a benchmark, with its bound from docs/design.md, section 1.8.
struct Measurement {
  std::string bench;
  std::string profile;
  std::string name;
  std::string unit;
  double value = 0;
  BoundKind bound_kind = BoundKind::kNone;
  double bound = 0;
  // Name of the figure of the same run to compare with; empty if there is none.
  std::string baseline_name;
  double baseline = 0;
};

// Returns whether `measurement` is within its bound.
auto IsWithinBound(const Measurement& measurement) -> bool;

// Benchmark that returns the same figures for the same seed, except for
// wall-clock times, which have no bound.
struct Benchmark {
  std::string_view name;
  std::string_view summary;
  auto(*run)(std::uint64_t seed) -> std::vector<Measurement>;
  // Runs only if named on the command line, as it takes many minutes.
  bool is_long = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_MEASUREMENT_H_
