#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bench/benches.h"
#include "bench/measurement.h"
#include "bench/measurement_list.h"
#include "core/name_table.h"
#include "unit/decision/quota/fake_quota_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::seconds;

// Ways to divide the limit of a team among gateways.
enum class Division {
  kStatic,  // Each gateway has an equal part.
  kDemand,  // Each second a keeper divides the limit by the last demand.
  kLeases,  // Unasked part and leases, as built.
};

}  // namespace

template <>
struct EnumNames<Division> {
  static constexpr auto kTable = std::to_array<NameEntry<Division>>({
      {Division::kStatic, "static"},
      {Division::kDemand, "demand"},
      {Division::kLeases, "leases"},
  });
};
static_assert(IsDense<Division>());

namespace {

constexpr Duration kRun = seconds(30);
constexpr std::uint64_t kRate = 20;
constexpr std::uint64_t kBurst = 20;
constexpr double kUsualShare = 1 / 1.6;
constexpr double kHotFactor = 7.5;
// Requests that callers with four addresses reach.
constexpr std::size_t kFewGateways = 4;

// Token buckets of all gateways for one team, whose parts are known without a
// message or delay.
class SharedBuckets {
 public:
  SharedBuckets(Division division, std::size_t gateways)
      : division_(division), parts_(gateways) {
    for (auto& part : parts_) {
      part.share = 1 / static_cast<double>(gateways);
      part.tokens = kBurst * part.share;
    }
  }

  auto Decide(std::size_t gateway, TimePoint now) -> bool {
    if (division_ == Division::kDemand && now - divided_ >= seconds(1)) {
      Divide(now);
    }
    auto& part = parts_[gateway];
    ++part.demand;
    part.tokens = std::min(
        std::max(1.0, kBurst * part.share),
        part.tokens + ToSeconds(now - part.refilled) * kRate * part.share);
    part.refilled = now;
    if (part.tokens < 1) {
      return false;
    }
    part.tokens -= 1;
    return true;
  }

 private:
  struct Part {
    double share = 0;
    double tokens = 0;
    double demand = 0;
    TimePoint refilled{seconds(1000)};
  };

  auto Divide(TimePoint now) -> void {
    divided_ = now;
    double total = 0;
    for (const auto& part : parts_) {
      total += part.demand;
    }
    for (auto& part : parts_) {
      part.share = total > 0 ? part.demand / total : part.share;
      part.demand = 0;
    }
  }

  Division division_;
  std::vector<Part> parts_;
  TimePoint divided_{seconds(1000)};
};

class QuotaBench {
 public:
  explicit QuotaBench(std::uint64_t seed) : seed_(seed) {}

  auto Run() -> std::vector<Measurement> {
    for (const std::size_t gateways : {8, 32, 128}) {
      for (const auto division :
           {Division::kStatic, Division::kDemand, Division::kLeases}) {
        Measure(gateways, division, "usual, all", kUsualShare, gateways, false);
        Measure(gateways, division, "usual, 4", kUsualShare, kFewGateways,
                false);
        Measure(gateways, division, "usual, moving", kUsualShare, 1, true);
        Measure(gateways, division, "hot, all", kUsualShare * kHotFactor,
                gateways, false);
        Measure(gateways, division, "hot, moving", kUsualShare * kHotFactor, 1,
                true);
      }
    }
    return figures_.Take();
  }

 private:
  auto Measure(std::size_t gateways,
               Division division,
               const std::string& load,
               double share,
               std::size_t used,
               bool moves) -> void {
    SharedBuckets buckets(division, gateways);
    FakeQuotaFleet::Options options;
    options.gateways = gateways;
    options.seed = seed_;
    if (division != Division::kLeases) {
      options.decide = [&](std::size_t gateway, const TeamId&, TimePoint now) {
        return buckets.Decide(gateway, now);
      };
    }
    FakeQuotaFleet fleet(options);
    fleet.RunFor(seconds(5));
    fleet.SetLimits({{"team", {kRate, kBurst}}});
    constexpr auto kSteps = static_cast<std::size_t>(kRun / seconds(1));
    for (std::size_t step = 0; step < kSteps; ++step) {
      if (step == 0 || moves) {
        std::vector<std::size_t> to;
        for (std::size_t i = 0; i < used; ++i) {
          to.push_back((step * 3 + gateways - 1 - i) % gateways);
        }
        fleet.SetLoad("team", share * kRate, to);
      }
      fleet.RunFor(seconds(1));
    }
    double bytes = 0;
    double messages = 0;
    for (const auto& node : fleet.nodes()) {
      bytes += static_cast<double>(node.sent_bytes);
      messages += static_cast<double>(node.sent_messages);
    }
    const auto per_gateway = ToSeconds(kRun) * static_cast<double>(gateways);
    figures_.set_profile(std::to_string(gateways) + " " +
                         std::string(ToName(division)));
    const auto allowed = (kRate * 5 + kBurst) * 1.25 + 20;
    figures_.Add(load + ": refused below the limit", "%",
                 100 * fleet.RefusedShare("team"));
    const auto window = static_cast<double>(fleet.MaxInWindow("team"));
    if (division == Division::kLeases) {
      figures_.AddBounded(load + ": most in 5 s", "requests", window, allowed);
      figures_.Add(load + ": messages per gateway", "1/s",
                   messages / per_gateway);
      figures_.Add(load + ": bytes per gateway", "B/s", bytes / per_gateway);
    } else {
      figures_.Add(load + ": most in 5 s", "requests", window);
    }
  }

  std::uint64_t seed_;
  MeasurementList figures_{"quota"};
};

}  // namespace

auto RunQuotaBench(std::uint64_t seed) -> std::vector<Measurement> {
  return QuotaBench(seed).Run();
}

}  // namespace flamingoyoke
