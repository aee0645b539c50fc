#include "decision/gateway/load_estimate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace flamingoyoke {
namespace {

// Weight of the newest value in the average of the statements.
constexpr double kOthersWeight = 0.2;
// The usual load of the service counts as so many statements of a target.
constexpr double kUsualWeight = 4;
// Run time of a target that has answered nothing yet.
constexpr Duration kAssumedRunTime = std::chrono::milliseconds(200);
// Shorter times would forget a statement before the next request.
constexpr Duration kMinRunTime = std::chrono::milliseconds(10);
// Time constant of RecentlySent.
constexpr Duration kRecent = std::chrono::seconds(2);

auto Decay(Duration age, Duration time_constant) -> double {
  return std::exp(-ToSeconds(std::max(age, Duration::zero())) /
                  ToSeconds(time_constant));
}

}  // namespace

auto LoadEstimate::OnSent(TimePoint now) -> void {
  sent_ = RecentlySent(now) + 1;
  last_sent_ = now;
}

auto LoadEstimate::OnAnswered(Duration run_time) -> void {
  run_time_.Add(run_time);
}

auto LoadEstimate::OnStated(const LoadNews& news,
                            std::uint32_t own,
                            bool was_shed,
                            double usual,
                            LoadCounters& counters) -> double {
  const auto stated =
      static_cast<double>(news.load.running) + news.load.waiting;
  if (own == 1 && stated == 0 && !was_shed) {
    counts_answered_ = false;
  }
  counters.beyond_slots += was_shed || news.load.waiting > 0 ? 1 : 0;
  const bool excludes_answered = was_shed || !counts_answered_;
  const auto counted =
      static_cast<double>(own) - (excludes_answered && own > 0 ? 1 : 0);
  const auto others = std::max(stated - counted, 0.0);
  if (stated_at_ && news.at < *stated_at_) {
    return others;
  }
  ++counters.news;
  if (stated_at_) {
    counters.age += news.at - *stated_at_;
    counters.error += std::abs(Others(news.at, usual, stated + usual) - others);
  }
  sum_others_ += kOthersWeight * (others - sum_others_);
  sum_weights_ += kOthersWeight * (1 - sum_weights_);
  stated_at_ = news.at;
  stated_others_ = others;
  return others;
}

auto LoadEstimate::Validity(TimePoint now) const -> double {
  const auto time =
      run_time() == Duration::zero() ? kAssumedRunTime : run_time();
  return Decay(now - *stated_at_, std::max(time, kMinRunTime));
}

auto LoadEstimate::Average(double usual) const -> double {
  constexpr auto kWeight = kUsualWeight * kOthersWeight;
  return (sum_others_ + kWeight * usual) / (sum_weights_ + kWeight);
}

auto LoadEstimate::Others(TimePoint now, double usual, double max_average) const
    -> double {
  const auto average = std::min(Average(usual), max_average);
  return stated_at_ ? average + (stated_others_ - average) * Validity(now)
                    : average;
}

auto LoadEstimate::OthersVariance(TimePoint now, double usual) const -> double {
  const auto valid = stated_at_ ? Validity(now) : 0;
  return (1 - valid) * (stated_others_ * valid + Average(usual));
}

auto LoadEstimate::RecentlySent(TimePoint now) const -> double {
  return last_sent_ ? sent_ * Decay(now - *last_sent_, kRecent) : 0;
}

auto ExpectedExcess(double load, double variance, double limit) -> double {
  if (variance <= 0) {
    return std::max(load - limit, 0.0);
  }
  const auto deviation = std::sqrt(variance);
  const auto z = (load - limit) / deviation;
  const auto density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const auto above = std::erfc(-z / std::numbers::sqrt2) / 2;
  return deviation * density + (load - limit) * above;
}

}  // namespace flamingoyoke
