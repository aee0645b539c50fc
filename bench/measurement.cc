#include "bench/measurement.h"

namespace flamingoyoke {

auto IsWithinBound(const Measurement& measurement) -> bool {
  switch (measurement.bound_kind) {
    case BoundKind::kNone:
      return true;
    case BoundKind::kAtMost:
      return measurement.value <= measurement.bound;
    case BoundKind::kAtLeast:
      return measurement.value >= measurement.bound;
  }
  return false;
}

}  // namespace flamingoyoke
