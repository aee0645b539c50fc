#include "decision/fleet/load_meter.h"

#include <algorithm>
#include <limits>

namespace flamingoyoke {
namespace {

// Readings that follow each other sooner say little: the processor time of a
// small vm comes in slices of a tenth of a second.
constexpr Duration kLeastSpan = std::chrono::milliseconds(400);
// The announced value stays while the highest use is between these parts of
// it, so that a steady load costs no messages.
constexpr double kRisesAbove = 1.15;
constexpr double kFallsBelow = 0.6;
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

auto LoadMeter::Add(const LoadReading& reading, TimePoint now) -> bool {
  if (!read_) {
    read_ = now;
    reading_ = reading;
    return false;
  }
  if (now - *read_ < kLeastSpan) {
    return false;
  }
  const auto seconds = ToSeconds(now - *read_);
  const auto rate = [&](std::uint64_t after, std::uint64_t before) {
    return static_cast<double>(after - before) / seconds;
  };
  const bool serves =
      rate(reading.requests, reading_.requests) >= kLeastRequestRate;
  last_ = {
      ToAmount(kMillicoresPerCore *
               ToSeconds(reading.processor_time - reading_.processor_time) /
               seconds),
      ToAmount(kBitsPerByte / kBitsPerKilobit *
               rate(reading.received_bytes, reading_.received_bytes))};
  read_ = now;
  reading_ = reading;
  samples_.push_back({now, serves ? last_ : VmResources()});
  while (samples_.front().at < now - kMemory) {
    samples_.pop_front();
  }
  VmResources highest;
  for (const auto& sample : samples_) {
    highest.processor_millicores = std::max(highest.processor_millicores,
                                            sample.used.processor_millicores);
    highest.link_kbps = std::max(highest.link_kbps, sample.used.link_kbps);
  }
  if (!HasMoved(highest.processor_millicores,
                announced_.processor_millicores) &&
      !HasMoved(highest.link_kbps, announced_.link_kbps)) {
    return false;
  }
  announced_ = highest;
  return true;
}

}  // namespace flamingoyoke
