#include "decision/fleet/load_meter.h"

#include <algorithm>
#include <limits>

namespace flamingoyoke {
namespace {

// Rates over less time say little: requests come in bursts.
constexpr Duration kLeastSpan = std::chrono::milliseconds(400);
// The announced load stays while the highest use is between these parts of it,
// so that a steady load costs no messages.
constexpr double kRisesAbove = 1.15;
constexpr double kFallsBelow = 0.6;
// A late vm announces this part of the load that it did not manage, and comes
// back by this factor for each span without late work.
constexpr double kCapacityCut = 0.7;
constexpr double kCapacityGrowth = 1.3;
constexpr Duration kGrowthSpan = std::chrono::seconds(2);
constexpr double kMillicoresPerCore = 1000;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerKilobit = 1000;

auto ToAmount(double value) -> std::uint32_t {
  constexpr auto kMost =
      static_cast<double>(std::numeric_limits<std::uint32_t>::max());
  return static_cast<std::uint32_t>(std::clamp(value, 0.0, kMost));
}

auto HasMoved(std::uint32_t highest, std::uint32_t announced) -> bool {
  const auto before = static_cast<double>(announced);
  const auto present = static_cast<double>(highest);
  return present > before * kRisesAbove || present < before * kFallsBelow;
}

}  // namespace

LoadMeter::LoadMeter(const VmResources& capacity, Duration request_time)
    : nominal_(capacity), request_time_(request_time), capacity_(capacity) {}

auto LoadMeter::Add(const LoadReading& reading, TimePoint now) -> bool {
  if (!read_) {
    read_ = now;
    reading_ = reading;
    return false;
  }
  reading_.delay = std::max(reading_.delay, reading.delay);
  if (now - *read_ < kLeastSpan) {
    return false;
  }
  const auto seconds = ToSeconds(now - *read_);
  const auto rate = [&](std::uint64_t after, std::uint64_t before) {
    return static_cast<double>(after - before) / seconds;
  };
  const auto request_rate = rate(reading.requests, reading_.requests);
  last_ = {
      ToAmount(kMillicoresPerCore * ToSeconds(request_time_) * request_rate),
      ToAmount(kBitsPerByte / kBitsPerKilobit *
               rate(reading.received_bytes, reading_.received_bytes))};
  const bool serves = request_rate >= kLeastRequestRate;
  const bool is_late = serves && reading_.delay >= kLate;
  read_ = now;
  reading_ = reading;
  reading_.delay = Duration::zero();
  const bool load_changed = UpdateLoad(serves ? last_ : VmResources(), now);
  const bool capacity_changed = UpdateCapacity(last_, is_late, now);
  return load_changed || capacity_changed;
}

auto LoadMeter::UpdateLoad(const VmResources& used, TimePoint now) -> bool {
  samples_.push_back({now, used});
  while (samples_.front().at < now - kMemory) {
    samples_.pop_front();
  }
  VmResources highest;
  for (const auto& sample : samples_) {
    highest.processor_millicores = std::max(highest.processor_millicores,
                                            sample.used.processor_millicores);
    highest.link_kbps = std::max(highest.link_kbps, sample.used.link_kbps);
  }
  if (!HasMoved(highest.processor_millicores, load_.processor_millicores) &&
      !HasMoved(highest.link_kbps, load_.link_kbps)) {
    return false;
  }
  load_ = highest;
  return true;
}

auto LoadMeter::UpdateCapacity(const VmResources& used,
                               bool is_late,
                               TimePoint now) -> bool {
  const auto before = capacity_;
  const auto nominal = static_cast<double>(nominal_.processor_millicores);
  const auto present = static_cast<double>(capacity_.processor_millicores);
  const bool stays_late = is_late && was_late_;
  was_late_ = is_late && !stays_late;
  if (is_late) {
    strained_ = now;
  }
  if (stays_late) {
    const auto managed =
        std::min(present, static_cast<double>(used.processor_millicores));
    capacity_.processor_millicores = ToAmount(
        std::max(managed * kCapacityCut, nominal * kLeastCapacityPart));
  } else if (present < nominal && now - strained_ >= kGrowthSpan) {
    capacity_.processor_millicores =
        ToAmount(std::min(nominal, present * kCapacityGrowth + 1));
    strained_ = now;
  }
  return capacity_ != before;
}

}  // namespace flamingoyoke
