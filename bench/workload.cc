#include "bench/workload.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

// Duration of the rise to the peak load and of the fall from it.
constexpr Duration kRampTime = std::chrono::seconds(1);

}  // namespace

auto AllProfiles() -> const std::vector<UserProfile>& {
  static const std::vector<UserProfile> profiles = {
      {"association", {8, 14, 8}, 2, std::chrono::microseconds(500)},
      {"builder", {9, 16, 8}, 4, std::chrono::microseconds(1000)},
  };
  return profiles;
}

auto Exponential(Duration mean, Random& random) -> Duration {
  const double us =
      -std::log(1 - random.Unit()) * static_cast<double>(mean.count());
  return Duration(static_cast<Duration::rep>(us) + 1);
}

auto MakeWorkload(const WorkloadOptions& options, Random random)
    -> std::vector<Arrival> {
  const double mean_factor =
      1 - options.long_share + options.long_share * options.long_factor;
  const auto mean_service = static_cast<double>(kMeanShortService.count());
  const auto gap = Duration(static_cast<Duration::rep>(
      mean_service * mean_factor / (options.load * options.slots)));
  std::vector<Arrival> arrivals;
  for (auto at = kSimulationStart; at < kSimulationStart + options.length;
       at += Exponential(gap, random)) {
    const bool is_long = random.Unit() < options.long_share;
    auto service = Exponential(kMeanShortService, random);
    const auto choice = random.Next();
    if (is_long && options.drop_long) {
      continue;
    }
    if (is_long) {
      service = Duration(static_cast<Duration::rep>(
          options.long_factor * static_cast<double>(service.count())));
    }
    arrivals.push_back(
        {at, service, is_long ? WorkClass::kLong : WorkClass::kShort, choice});
  }
  return arrivals;
}

auto MakePeakWorkload(std::uint32_t slots,
                      double peak_load,
                      Duration peak_time,
                      Random random) -> std::vector<Arrival> {
  const auto gap = Duration(static_cast<Duration::rep>(
      static_cast<double>(kMeanShortService.count()) / (peak_load * slots)));
  const auto length = kRampTime + peak_time + kRampTime;
  std::vector<Arrival> arrivals;
  for (auto at = kSimulationStart; at < kSimulationStart + length;
       at += Exponential(gap, random)) {
    const double up = ToSeconds(at - kSimulationStart);
    const double down = ToSeconds(kSimulationStart + length - at);
    const bool keep = random.Unit() < std::min({1.0, up, down});
    const auto service = Exponential(kMeanShortService, random);
    const auto choice = random.Next();
    if (keep) {
      arrivals.push_back({at, service, WorkClass::kShort, choice});
    }
  }
  return arrivals;
}

}  // namespace flamingoyoke
