#include "node/traffic/service_metrics.h"

#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace flamingoyoke {
namespace {

namespace bh = boost::histogram;

// Upper bounds of the histogram buckets in seconds, from a fast response in the
// local network to a long upload.
constexpr auto kDurationBounds =
    std::to_array({0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064,
                   0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0});

// Logarithmic bins for waiting times from 0.1 ms to 100 s, each about 15% wider
// than the one before.
constexpr int kWaitBins = 100;
constexpr double kMinWaitSeconds = 0.0001;
constexpr double kMaxWaitSeconds = 100;
constexpr double kQuantile = 0.99;
constexpr Duration kWindowLength = std::chrono::seconds(10);

auto MakeDurationHistogram() {
  std::vector<double> edges{0};
  edges.insert(edges.end(), kDurationBounds.begin(), kDurationBounds.end());
  return bh::make_histogram(bh::axis::variable<double>(edges));
}

auto MakeWaitHistogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      kWaitBins, kMinWaitSeconds, kMaxWaitSeconds));
}

struct DurationHistogram {
  decltype(MakeDurationHistogram()) bins = MakeDurationHistogram();
  double sum = 0;

  auto Add(Duration duration) -> void {
    bins(ToSeconds(duration));
    sum += ToSeconds(duration);
  }

  [[nodiscard]] auto ToSample(std::string name,
                              std::string help,
                              const ServiceId& service) const -> MetricSample {
    MetricSample sample;
    sample.name = std::move(name);
    sample.help = std::move(help);
    sample.label_name = "service";
    sample.label_value = service.value();
    sample.is_counter = false;
    sample.bounds.assign(kDurationBounds.begin(), kDurationBounds.end());
    std::uint64_t cumulative = 0;
    const auto count = static_cast<int>(kDurationBounds.size());
    for (int i = 0; i < count; ++i) {
      cumulative += static_cast<std::uint64_t>(bins.at(i));
      sample.counts.push_back(cumulative);
    }
    // The last count includes the values above the last bound.
    sample.counts.push_back(cumulative +
                            static_cast<std::uint64_t>(bins.at(count)));
    sample.sum = sum;
    return sample;
  }
};

// Waiting times of the current and the previous window.
struct WaitWindow {
  decltype(MakeWaitHistogram()) current = MakeWaitHistogram();
  decltype(MakeWaitHistogram()) previous = MakeWaitHistogram();
  TimePoint started;

  auto Advance(TimePoint now) -> void {
    if (now - started < kWindowLength) {
      return;
    }
    if (now - started < 2 * kWindowLength) {
      std::swap(previous, current);
    } else {
      previous.reset();
    }
    current.reset();
    started = now;
  }

  // Bin -1 is the underflow bin, kWaitBins the overflow bin.
  [[nodiscard]] auto CountOf(int bin) const -> double {
    return static_cast<double>(current.at(bin)) +
           static_cast<double>(previous.at(bin));
  }

  [[nodiscard]] auto P99() const -> Duration {
    double total = 0;
    for (int i = -1; i <= kWaitBins; ++i) {
      total += CountOf(i);
    }
    if (total == 0) {
      return Duration::zero();
    }
    double seen = 0;
    for (int i = -1; i < kWaitBins; ++i) {
      seen += CountOf(i);
      if (seen >= kQuantile * total) {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(current.axis().value(i + 1)));
      }
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kMaxWaitSeconds));
  }
};

auto MakeSample(const char* name,
                const char* help,
                const ServiceId& service,
                bool is_counter,
                double value) -> MetricSample {
  MetricSample sample;
  sample.name = name;
  sample.help = help;
  sample.label_name = "service";
  sample.label_value = service.value();
  sample.is_counter = is_counter;
  sample.value = value;
  return sample;
}

}  // namespace

struct ServiceMetrics::State {
  DurationHistogram requests;
  DurationHistogram waits;
  DurationHistogram attempts;
  std::array<WaitWindow, kEnumSize<WorkClass>> wait_windows;
};

ServiceMetrics::ServiceMetrics(ServiceId service)
    : service_(std::move(service)), state_(std::make_unique<State>()) {}

ServiceMetrics::~ServiceMetrics() = default;
ServiceMetrics::ServiceMetrics(ServiceMetrics&&) noexcept = default;
auto ServiceMetrics::operator=(ServiceMetrics&&) noexcept
    -> ServiceMetrics& = default;

auto ServiceMetrics::OnRequest(Duration duration) -> void {
  state_->requests.Add(duration);
}

auto ServiceMetrics::OnWait(WorkClass work_class, Duration wait, TimePoint now)
    -> void {
  state_->waits.Add(wait);
  auto& window = state_->wait_windows[static_cast<std::size_t>(work_class)];
  window.Advance(now);
  window.current(ToSeconds(wait));
}

auto ServiceMetrics::OnAttempt(Duration duration) -> void {
  state_->attempts.Add(duration);
}

auto ServiceMetrics::WaitP99(WorkClass work_class, TimePoint now) -> Duration {
  auto& window = state_->wait_windows[static_cast<std::size_t>(work_class)];
  window.Advance(now);
  return window.P99();
}

auto ServiceMetrics::AppendTo(std::vector<MetricSample>& samples,
                              const ServiceReport& report) const -> void {
  const auto add = [&](const char* name, const char* help, bool is_counter,
                       double value) {
    samples.push_back(MakeSample(name, help, service_, is_counter, value));
  };
  samples.push_back(state_->requests.ToSample(
      "flamingoyoke_request_duration_seconds",
      "Time from the whole request to the whole answer.", service_));
  samples.push_back(state_->waits.ToSample(
      "flamingoyoke_request_wait_seconds",
      "Time from the whole request to its first attempt.", service_));
  samples.push_back(state_->attempts.ToSample(
      "flamingoyoke_attempt_duration_seconds",
      "Time from the start of an attempt to its end.", service_));
  add("flamingoyoke_requests_answered_total",
      "Requests with a whole answer of an upstream.", true,
      static_cast<double>(report.answered));
  add("flamingoyoke_requests_rejected_total",
      "Requests that ended without any attempt.", true,
      static_cast<double>(report.rejected));
  add("flamingoyoke_requests_unknown_total",
      "Requests that ended with an unknown outcome.", true,
      static_cast<double>(report.unknown));
  add("flamingoyoke_attempts_retried_total",
      "Attempts after the first one of a request.", true,
      static_cast<double>(report.retried));
  add("flamingoyoke_slots_in_use", "Slots of owned targets in use.", false,
      report.slots_in_use);
  add("flamingoyoke_queue_length", "Requests that wait for a slot.", false,
      report.queue_length);
  add("flamingoyoke_healthy_share", "Healthy share of the capacity, 0 to 1.",
      false, report.healthy_share);
}

}  // namespace flamingoyoke
