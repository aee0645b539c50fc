#include "decision/gateway/outcome_count.h"

namespace flamingoyoke {

auto CountOutcome(Evidence evidence, TargetOutcomes& outcomes) -> void {
  switch (evidence) {
    case Evidence::kSucceeded:
      ++outcomes.succeeded;
      return;
    case Evidence::kFailed:
    case Evidence::kBroken:
    case Evidence::kRefused:
      ++outcomes.failed;
      return;
    case Evidence::kTimedOut:
      ++outcomes.timed_out;
      return;
    case Evidence::kOverdue:
      ++outcomes.slow;
      return;
    case Evidence::kShed:
      return;
  }
}

}  // namespace flamingoyoke
