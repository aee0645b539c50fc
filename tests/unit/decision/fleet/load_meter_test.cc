#include "decision/fleet/load_meter.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr auto kPeriod = std::chrono::milliseconds(500);

// Reads a process that uses a steady part of a core and of its link.
class SteadyProcess {
 public:
  auto Read(LoadMeter& meter, double cores, double requests_per_second)
      -> bool {
    now_ += kPeriod;
    reading_.processor_time += Duration(static_cast<std::int64_t>(
        cores * static_cast<double>(kPeriod.count()) * 1000));
    const auto requests = static_cast<std::uint64_t>(requests_per_second / 2);
    reading_.requests += requests;
    reading_.received_bytes += requests * 1000;
    return meter.Add(reading_, now_);
  }

 private:
  TimePoint now_{std::chrono::seconds(100)};
  LoadReading reading_;
};

}  // namespace

// Guards against entries whose load stays unknown to the fleet while they are
// overloaded.
Test(load_meter, announces_a_rise_with_the_next_reading) {
  LoadMeter meter;
  SteadyProcess process;
  process.Read(meter, 0.05, 40);
  cr_assert(process.Read(meter, 0.05, 40));
  cr_assert_eq(meter.announced().processor_millicores, 50U);
  cr_assert_eq(meter.announced().link_kbps, 320U);
  cr_assert(process.Read(meter, 0.2, 160));
  cr_assert_eq(meter.announced().processor_millicores, 200U);
}

// Guards against a message to the whole fleet for each swing of the load.
Test(load_meter, stays_while_the_load_swings) {
  LoadMeter meter;
  SteadyProcess process;
  process.Read(meter, 0.1, 100);
  cr_assert(process.Read(meter, 0.1, 100));
  for (int i = 0; i < 100; ++i) {
    cr_assert_not(process.Read(meter, i % 16 < 8 ? 0.03 : 0.1, 100));
  }
}

// Guards against callers that are sent to many vms long after a peak.
Test(load_meter, falls_once_the_peak_is_past) {
  LoadMeter meter;
  SteadyProcess process;
  process.Read(meter, 0.4, 300);
  process.Read(meter, 0.4, 300);
  for (int i = 0; i < 26; ++i) {
    process.Read(meter, 0.05, 40);
  }
  cr_assert_eq(meter.announced().processor_millicores, 50U);
}

// Guards against demand that is the sum of what idle vms need for themselves.
Test(load_meter, counts_no_load_of_a_vm_without_callers) {
  LoadMeter meter;
  SteadyProcess process;
  for (int i = 0; i < 10; ++i) {
    cr_assert_not(process.Read(meter, 0.01, 2));
  }
  cr_assert(meter.announced() == VmResources());
  cr_assert_eq(meter.last().processor_millicores, 10U);
}

}  // namespace flamingoyoke
