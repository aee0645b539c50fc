#include "decision/fleet/load_meter.h"

#include <algorithm>
#include <limits>

namespace flamingoyoke {
namespace {

// Requests are bursty, so rates over a shorter interval are unreliable.
constexpr Duration kMinReadingInterval = std::chrono::milliseconds(400);
// The announced load is kept while the peak use stays between these multiples
// of it, so that a steady load causes no messages.
constexpr double kRiseThreshold = 1.15;
constexpr double kFallThreshold = 0.6;
// An overloaded VM announces this share of the load that it actually handled.
// The capacity grows by kCapacityGrowth per kCapacityGrowthPeriod without
// overload.
constexpr double kCapacityBackoff = 0.7;
constexpr double kCapacityGrowth = 1.3;
constexpr Duration kCapacityGrowthPeriod = std::chrono::seconds(2);
constexpr double kMillicoresPerCore = 1000;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerKilobit = 1000;

auto ToSaturatedAmount(double value) -> std::uint32_t {
  constexpr auto kMaxAmount =
      static_cast<double>(std::numeric_limits<std::uint32_t>::max());
  return static_cast<std::uint32_t>(std::clamp(value, 0.0, kMaxAmount));
}

auto IsOutsideDeadband(std::uint32_t highest, std::uint32_t announced) -> bool {
  const auto before = static_cast<double>(announced);
  const auto present = static_cast<double>(highest);
  return present > before * kRiseThreshold || present < before * kFallThreshold;
}

}  // namespace

LoadMeter::LoadMeter(const VmResources& capacity, Duration request_time)
    : nominal_(capacity), request_time_(request_time), capacity_(capacity) {}

auto LoadMeter::Add(const LoadReading& reading, TimePoint now) -> bool {
  if (!last_reading_time_) {
    last_reading_time_ = now;
    last_reading_ = reading;
    return false;
  }
  last_reading_.delay = std::max(last_reading_.delay, reading.delay);
  if (now - *last_reading_time_ < kMinReadingInterval) {
    return false;
  }
  const auto seconds = ToSeconds(now - *last_reading_time_);
  const auto rate = [&](std::uint64_t after, std::uint64_t before) {
    return static_cast<double>(after - before) / seconds;
  };
  const auto request_rate = rate(reading.requests, last_reading_.requests);
  last_ = {ToSaturatedAmount(kMillicoresPerCore * ToSeconds(request_time_) *
                             request_rate),
           ToSaturatedAmount(
               kBitsPerByte / kBitsPerKilobit *
               rate(reading.received_bytes, last_reading_.received_bytes))};
  const bool serves = request_rate >= kMinRequestRate;
  const bool is_overloaded = serves && last_reading_.delay >= kOverloadDelay;
  last_reading_time_ = now;
  last_reading_ = reading;
  last_reading_.delay = Duration::zero();
  const bool load_changed = UpdateLoad(serves ? last_ : VmResources(), now);
  const bool capacity_changed = UpdateCapacity(last_, is_overloaded, now);
  return load_changed || capacity_changed;
}

auto LoadMeter::UpdateLoad(const VmResources& used, TimePoint now) -> bool {
  samples_.push_back({now, used});
  while (samples_.front().at < now - kPeakWindow) {
    samples_.pop_front();
  }
  VmResources highest;
  for (const auto& sample : samples_) {
    highest.processor_millicores = std::max(highest.processor_millicores,
                                            sample.used.processor_millicores);
    highest.link_kbps = std::max(highest.link_kbps, sample.used.link_kbps);
  }
  if (!IsOutsideDeadband(highest.processor_millicores,
                         load_.processor_millicores) &&
      !IsOutsideDeadband(highest.link_kbps, load_.link_kbps)) {
    return false;
  }
  load_ = highest;
  return true;
}

auto LoadMeter::UpdateCapacity(const VmResources& used,
                               bool is_overloaded,
                               TimePoint now) -> bool {
  const auto before = capacity_;
  const auto nominal = static_cast<double>(nominal_.processor_millicores);
  const auto present = static_cast<double>(capacity_.processor_millicores);
  const bool stays_overloaded = is_overloaded && was_overloaded_;
  was_overloaded_ = is_overloaded && !stays_overloaded;
  if (is_overloaded) {
    last_overload_or_growth_ = now;
  }
  if (stays_overloaded) {
    const auto achieved =
        std::min(present, static_cast<double>(used.processor_millicores));
    capacity_.processor_millicores = ToSaturatedAmount(
        std::max(achieved * kCapacityBackoff, nominal * kMinCapacityShare));
  } else if (present < nominal &&
             now - last_overload_or_growth_ >= kCapacityGrowthPeriod) {
    capacity_.processor_millicores =
        ToSaturatedAmount(std::min(nominal, present * kCapacityGrowth + 1));
    last_overload_or_growth_ = now;
  }
  return capacity_ != before;
}

}  // namespace flamingoyoke
