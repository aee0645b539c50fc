#include "standins/load/arrivals.h"

#include <algorithm>
#include <cmath>

#include "core/random.h"

namespace flamingoyoke::standin {
namespace {

auto Exponential(Random& random, double mean) -> double {
  return -mean * std::log(1 - random.Unit());
}

auto RateAt(const LoadOptions& options, Duration at) -> double {
  for (const auto& swing : options.swings) {
    if (at >= swing.start && at < swing.end) {
      return options.rate * swing.factor;
    }
  }
  return options.rate;
}

auto HighestRate(const LoadOptions& options) -> double {
  double factor = 1;
  for (const auto& swing : options.swings) {
    factor = std::max(factor, swing.factor);
  }
  return options.rate * factor;
}

}  // namespace

auto MakeArrivals(const LoadOptions& options) -> std::vector<Arrival> {
  Random random(options.seed);
  std::vector<Arrival> arrivals;
  const auto highest = HighestRate(options);
  std::chrono::duration<double> at{0};
  while (true) {
    at += std::chrono::duration<double>(Exponential(random, 1 / highest));
    const auto time = std::chrono::duration_cast<Duration>(at);
    if (time >= options.length) {
      return arrivals;
    }
    // Thinning: candidates are generated at the highest rate and kept with the
    // probability RateAt / highest.
    if (random.Unit() * highest >= RateAt(options, time)) {
      continue;
    }
    const auto work_class = random.Unit() < options.long_share
                                ? WorkClass::kLong
                                : WorkClass::kShort;
    const auto factor =
        work_class == WorkClass::kLong ? options.long_factor : 1;
    arrivals.push_back(
        {time, work_class, Exponential(random, options.service_ms * factor)});
  }
}

}  // namespace flamingoyoke::standin
