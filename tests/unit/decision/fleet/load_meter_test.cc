#include "decision/fleet/load_meter.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr auto kPeriod = std::chrono::milliseconds(500);
constexpr VmResources kCapacity = {500, 200'000};
constexpr Duration kRequestTime = std::chrono::milliseconds(1);

// Simulates a VM that gets a steady rate of requests of 1,000 bytes.
class SteadyVm {
 public:
  auto Read(LoadMeter& meter,
            std::uint64_t requests_per_second,
            Duration delay = Duration::zero()) -> bool {
    now_ += kPeriod;
    reading_.requests += requests_per_second / 2;
    reading_.received_bytes += requests_per_second / 2 * 1000;
    reading_.delay = delay;
    return meter.Add(reading_, now_);
  }

 private:
  TimePoint now_{std::chrono::seconds(100)};
  LoadReading reading_;
};

}  // namespace

// Guards against overloaded entries whose load the fleet learns too late.
Test(load_meter, announces_a_rise_with_the_next_reading) {
  LoadMeter meter(kCapacity, kRequestTime);
  SteadyVm vm;
  vm.Read(meter, 40);
  cr_assert(vm.Read(meter, 40));
  cr_assert_eq(meter.load().processor_millicores, 40U);
  cr_assert_eq(meter.load().link_kbps, 320U);
  cr_assert(vm.Read(meter, 160));
  cr_assert_eq(meter.load().processor_millicores, 160U);
}

// Guards against a message to the whole fleet for each oscillation of the load.
Test(load_meter, announced_load_is_stable_while_load_oscillates) {
  LoadMeter meter(kCapacity, kRequestTime);
  SteadyVm vm;
  vm.Read(meter, 100);
  cr_assert(vm.Read(meter, 100));
  for (int i = 0; i < 100; ++i) {
    cr_assert_not(vm.Read(meter, i % 16 < 8 ? 30 : 100));
  }
}

// Guards against keeping many entries long after a peak.
Test(load_meter, announced_load_falls_after_a_peak) {
  LoadMeter meter(kCapacity, kRequestTime);
  SteadyVm vm;
  vm.Read(meter, 300);
  vm.Read(meter, 300);
  for (int i = 0; i < 26; ++i) {
    vm.Read(meter, 40);
  }
  cr_assert_eq(meter.load().processor_millicores, 40U);
}

// Guards against adding entries for the few callers with old addresses.
Test(load_meter, announces_no_load_with_few_callers) {
  LoadMeter meter(kCapacity, kRequestTime);
  SteadyVm vm;
  for (int i = 0; i < 10; ++i) {
    cr_assert_not(vm.Read(meter, 2));
  }
  cr_assert(meter.load() == VmResources());
}

// Guards against a slow VM that gets as many callers as VMs of equal nominal
// capacity.
Test(load_meter, announces_less_capacity_while_overloaded) {
  LoadMeter meter(kCapacity, kRequestTime);
  SteadyVm vm;
  const auto overload_delay = LoadMeter::kOverloadDelay;
  vm.Read(meter, 200);
  vm.Read(meter, 200, overload_delay);
  cr_assert_eq(meter.capacity().processor_millicores, 500U);
  cr_assert(vm.Read(meter, 200, overload_delay));
  cr_assert_eq(meter.capacity().processor_millicores, 140U);
  for (int i = 0; i < 20; ++i) {
    vm.Read(meter, 100, overload_delay);
  }
  cr_assert_eq(meter.capacity().processor_millicores, 62U);
  for (int i = 0; i < 40; ++i) {
    vm.Read(meter, 100);
  }
  cr_assert(meter.capacity() == kCapacity);
}

// Guards against a VM that loses its callers because of one large configuration
// change.
Test(load_meter, keeps_its_capacity_over_a_single_delay) {
  LoadMeter meter(kCapacity, kRequestTime);
  SteadyVm vm;
  for (int i = 0; i < 20; ++i) {
    vm.Read(meter, 100,
            i % 4 == 0 ? LoadMeter::kOverloadDelay : Duration::zero());
  }
  cr_assert(meter.capacity() == kCapacity);
}

}  // namespace flamingoyoke
