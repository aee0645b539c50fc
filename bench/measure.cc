#include "bench/measure.h"

namespace flamingoyoke {

auto IsWithinBound(const Measure& measure) -> bool {
  switch (measure.bound_kind) {
    case BoundKind::kNone:
      return true;
    case BoundKind::kAtMost:
      return measure.value <= measure.bound;
    case BoundKind::kAtLeast:
      return measure.value >= measure.bound;
  }
  return false;
}

}  // namespace flamingoyoke
