#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/benches.h"
#include "bench/measurement.h"
#include "bench/measurement_list.h"
#include "decision/fleet/placement.h"
#include "unit/decision/fleet/fake_fleet.h"
#include "unit/decision/fleet/fleet_fixture.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Fleet size expected in two years; docs/design.md, section 1.7.
constexpr double kProjectedNodes = 7100;
constexpr std::uint64_t kRevisions = 5;

// Least-squares fit of a straight line over the binary logarithm of the number
// of nodes.
class LogFit {
 public:
  auto Add(std::size_t nodes, double value) -> void {
    points_.push_back({std::log2(static_cast<double>(nodes)), value});
  }
  [[nodiscard]] auto At(double nodes) const -> double {
    const auto line = Solve();
    return line.offset + line.slope * std::log2(nodes);
  }
  [[nodiscard]] auto slope() const -> double { return Solve().slope; }
  // Returns the root mean square error of the fit.
  [[nodiscard]] auto Residual() const -> double {
    const auto line = Solve();
    double sum = 0;
    for (const auto& point : points_) {
      const auto error = point.y - line.offset - line.slope * point.x;
      sum += error * error;
    }
    return std::sqrt(sum / static_cast<double>(points_.size()));
  }

 private:
  struct Point {
    double x = 0;
    double y = 0;
  };
  struct Line {
    double offset = 0;
    double slope = 0;
  };

  [[nodiscard]] auto Solve() const -> Line {
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto& point : points_) {
      x += point.x;
      y += point.y;
      xx += point.x * point.x;
      xy += point.x * point.y;
    }
    const auto n = static_cast<double>(points_.size());
    const auto slope = (n * xy - x * y) / (n * xx - x * x);
    return {(y - slope * x) / n, slope};
  }

  std::vector<Point> points_;
};

class FleetBench {
 public:
  explicit FleetBench(std::uint64_t seed) : seed_(seed) {}

  auto Run() -> std::vector<Measurement> {
    LogFit table;
    for (const std::size_t nodes : {10, 20, 40, 80, 160}) {
      MeasureFleetSize(nodes, table);
    }
    figures_.set_profile("7100 by fit");
    AddFit("table in force everywhere", "s", table, 10);
    MeasureRegions();
    MeasureFaults();
    MeasureCosts();
    return figures_.Take();
  }

 private:
  static auto MakeOptions(std::size_t nodes, std::uint64_t seed)
      -> FakeFleetOptions {
    FakeFleetOptions options;
    options.nodes = nodes;
    options.seed = seed;
    return options;
  }

  auto AddFit(const std::string& name,
              const std::string& unit,
              const LogFit& fit,
              double bound) -> void {
    figures_.AddBounded(name, unit, fit.At(kProjectedNodes), bound);
    figures_.Add(name + ", slope per doubling", unit, fit.slope());
    figures_.Add(name + ", residual", unit, fit.Residual());
  }

  // Returns `limit`, which exceeds every bound, if the condition was not
  // reached.
  static auto SecondsOrLimit(std::optional<Duration> time, Duration limit)
      -> double {
    return ToSeconds(time.value_or(limit));
  }

  // Returns the platform reads of the busiest of the first ten seconds after
  // all nodes start.
  static auto PeakReads(FakeFleet& fleet) -> double {
    const auto total = [&] {
      std::uint64_t sum = 0;
      for (const auto& node : fleet.nodes()) {
        sum += node.counters.reads;
      }
      return sum;
    };
    std::uint64_t peak = 0;
    for (int second = 0; second < 10; ++second) {
      const auto before = total();
      fleet.RunFor(seconds(1));
      peak = std::max(peak, total() - before);
    }
    return static_cast<double>(peak);
  }

  static auto BytesPerSecond(FakeFleet& fleet) -> double {
    const auto total = [&] {
      std::uint64_t sum = 0;
      for (const auto& node : fleet.nodes()) {
        sum += node.counters.sent_bytes + node.counters.received_bytes;
      }
      return static_cast<double>(sum);
    };
    constexpr int kQuietSeconds = 20;
    const auto before = total();
    fleet.RunFor(seconds(kQuietSeconds));
    return (total() - before) / kQuietSeconds /
           static_cast<double>(fleet.nodes().size());
  }

  // Returns the longest time that a table revision takes to reach every node if
  // only one reader reaches the platform.
  static auto LongestTableSpread(FakeFleet& fleet) -> double {
    std::size_t reader = 0;
    while (!fleet.nodes()[reader].is_reader) {
      ++reader;
    }
    fleet.SetService([reader](std::size_t node) { return node == reader; });
    double longest = 0;
    for (std::uint64_t revision = 2; revision < 2 + kRevisions; ++revision) {
      fleet.Publish(revision);
      constexpr Duration kLimit = seconds(30);
      longest = std::max(
          longest,
          SecondsOrLimit(fleet.RunUntil([&] { return fleet.AllHave(revision); },
                                        kLimit, milliseconds(1)),
                         kLimit));
      fleet.RunFor(seconds(2));
    }
    fleet.SetService(nullptr);
    return longest;
  }

  auto MeasureFleetSize(std::size_t nodes, LogFit& table) -> void {
    figures_.set_profile(std::to_string(nodes) + " nodes");
    FakeFleet fleet(MakeOptions(nodes, seed_));
    fleet.Publish(1);
    fleet.StartAll();
    const auto peak = PeakReads(fleet);
    figures_.Add("platform reads, busiest second of a restart of all", "1/s",
                 peak);
    const auto rate = BytesPerSecond(fleet);
    const auto time = LongestTableSpread(fleet);
    table.Add(nodes, time);
    if (nodes == 40) {
      figures_.AddBounded("bytes sent and received, quiet", "B/s", rate, 2000);
      figures_.AddBounded("table in force everywhere, one reader", "s", time,
                          3);
    } else {
      figures_.Add("bytes sent and received, quiet", "B/s", rate);
      figures_.Add("table in force everywhere, one reader", "s", time);
    }
    std::size_t peers = 0;
    for (const auto& node : fleet.nodes()) {
      peers = std::max(peers, node.max_peers);
    }
    figures_.AddBounded("most peers of a node", "", static_cast<double>(peers),
                        static_cast<double>(kMaxPeers));
  }

  // Topology expected in two years: 25 failure domains in 7 regions, and
  // services in proportion to the nodes.
  auto MeasureRegions() -> void {
    LogFit bytes;
    for (const std::size_t nodes : {50, 100, 200}) {
      auto options = MakeOptions(nodes, seed_);
      options.domains = 25;
      options.regions = 7;
      options.services = nodes * 3000 / 7100;
      options.latency = milliseconds(20);
      FakeFleet fleet(options);
      fleet.Publish(1);
      fleet.StartAll();
      fleet.RunFor(seconds(15));
      const auto rate = BytesPerSecond(fleet);
      bytes.Add(nodes, rate);
      figures_.set_profile(std::to_string(nodes) + ", 7 regions");
      figures_.Add("bytes sent and received, quiet", "B/s", rate);
    }
    figures_.set_profile("7100, 7 regions");
    AddFit("bytes sent and received, quiet", "B/s", bytes, 15'000);
  }

  auto MeasureFaults() -> void {
    figures_.set_profile("40 nodes");
    FakeFleet fleet(MakeOptions(40, seed_));
    fleet.Publish(1);
    fleet.StartAll();
    fleet.RunFor(seconds(10));
    MeasureDeadVms(fleet);
    MeasureOneWayCuts(fleet);
    constexpr Duration kLimit = seconds(60);
    fleet.SetLinks(
        [](std::size_t a, std::size_t b) { return (a < 20) == (b < 20); });
    fleet.RunFor(kLimit);
    fleet.SetLinks(nullptr);
    figures_.Add(
        "one list and all ready after a partition", "s",
        SecondsOrLimit(
            fleet.RunUntil(
                [&] { return fleet.HasConverged() && fleet.AllReady(); },
                kLimit),
            kLimit));
  }

  auto MeasureDeadVms(FakeFleet& fleet) -> void {
    constexpr Duration kLimit = seconds(30);
    double longest = 0;
    double longest_home = 0;
    double longest_fresh = 0;
    for (std::size_t vm = 0; vm < 10; ++vm) {
      std::vector<std::size_t> home;
      for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
        if (fleet.nodes()[i].home_peers.count(fleet.nodes()[vm].self.id) > 0) {
          home.push_back(i);
        }
      }
      fleet.Stop(vm);
      const auto until_home = fleet.RunUntil(
          [&] {
            return std::all_of(home.begin(), home.end(), [&](std::size_t i) {
              return fleet.LivenessSeenBy(i, vm) != Liveness::kAlive;
            });
          },
          kLimit);
      longest_home = std::max(longest_home, SecondsOrLimit(until_home, kLimit));
      const auto until_all =
          fleet.RunUntil([&] { return fleet.HasConverged(); }, kLimit);
      longest = std::max(longest, SecondsOrLimit(until_home, kLimit) +
                                      SecondsOrLimit(until_all, kLimit));
      fleet.Start(vm);
      longest_fresh =
          std::max(longest_fresh,
                   SecondsOrLimit(
                       fleet.RunUntil(
                           [&] { return fleet.nodes()[vm].is_ready; }, kLimit),
                       kLimit));
      fleet.RunFor(seconds(5));
    }
    figures_.Add("dead vm not used by its home peers, longest of 10", "s",
                 longest_home);
    figures_.Add("dead vm known everywhere, longest of 10", "s", longest);
    figures_.Add("fresh vm ready, longest of 10", "s", longest_fresh);
  }

  auto MeasureOneWayCuts(FakeFleet& fleet) -> void {
    constexpr Duration kLimit = seconds(30);
    double longest = 0;
    for (std::size_t vm = 0; vm < 10; ++vm) {
      const auto peer = std::stoul(
          fleet.nodes()[vm].endpoints.begin()->first.value().substr(3));
      fleet.SetLinks([=](std::size_t from, std::size_t to) {
        return from != vm || to != peer;
      });
      const auto reports_cut = [&](std::size_t node, std::size_t other) {
        const auto cut = fleet.nodes()[node].membership->CutOff(fleet.now());
        return std::count(cut.begin(), cut.end(),
                          fleet.nodes()[other].self.id) > 0;
      };
      longest =
          std::max(longest, SecondsOrLimit(fleet.RunUntil(
                                               [&] {
                                                 return reports_cut(vm, peer) &&
                                                        reports_cut(peer, vm);
                                               },
                                               kLimit),
                                           kLimit));
      fleet.SetLinks(nullptr);
      fleet.RunFor(seconds(5));
    }
    figures_.Add("one-way cut known on both sides, longest of 10", "s",
                 longest);
  }

  // Returns the mean wall-clock time of `work` in microseconds.
  template <typename Work>
  static auto MeanMicroseconds(int repeats, Work work) -> double {
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i) {
      work(i);
    }
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - begin;
    return time.count() / repeats;
  }

  auto MeasureCosts() -> void {
    figures_.set_profile("wall clock");
    for (const std::size_t count : {40, 400, 7100}) {
      const auto members = MakeServingMembers(count, 25);
      std::size_t sum = 0;
      figures_.Add("home set of a service, members " + std::to_string(count),
                   "us", MeanMicroseconds(50, [&](int i) {
                     const auto row = MakeRow("s" + std::to_string(i), 1);
                     sum += PlacementOf(row, members).home.size();
                   }));
      MeasureHeartbeats(members);
    }
    for (const std::size_t targets : {8, 25, 250}) {
      const std::vector<VmId> home = {VmId("a"), VmId("b"), VmId("c"),
                                      VmId("d")};
      const auto row = MakeRow("s", targets);
      std::size_t sum = 0;
      figures_.Add("owners of a service, targets " + std::to_string(targets),
                   "us", MeanMicroseconds(100, [&](int) {
                     sum += OwnersOf(row.targets, home).size();
                   }));
    }
    for (const std::size_t services : {30, 300, 3000}) {
      MeasureHomeIndex(services);
    }
  }

  auto MeasureHeartbeats(const std::vector<Member>& others) -> void {
    auto self = MakeMember(0, 25);
    Membership membership(self, Random(seed_));
    TimePoint now(seconds(1000));
    membership.OnEvent(MembershipStarted{}, now);
    membership.OnEvent(PeerEnvelope{others[1].id, others[1].incarnation,
                                    MemberUpdate{others, false, {}}},
                       now);
    const auto count = std::to_string(others.size());
    std::uint64_t sequence = 0;
    figures_.Add(
        "heartbeat received, members " + count, "us",
        MeanMicroseconds(2000, [&](int) {
          Heartbeat heartbeat;
          heartbeat.sequence = ++sequence;
          heartbeat.heard_sequence = 1;
          heartbeat.is_chosen = true;
          membership.OnEvent(
              PeerEnvelope{others[1].id, others[1].incarnation, heartbeat},
              now);
        }));
    figures_.Add(
        "member event received, members " + count, "us",
        MeanMicroseconds(50, [&](int i) {
          auto report = others[2];
          report.version = static_cast<std::uint64_t>(i) + 1;
          report.liveness = i % 2 == 0 ? Liveness::kDead : Liveness::kAlive;
          membership.OnEvent(PeerEnvelope{others[1].id, others[1].incarnation,
                                          MemberUpdate{{report}, false, {}}},
                             now);
        }));
  }

  auto MeasureHomeIndex(std::size_t services) -> void {
    auto members = MakeServingMembers(7100, 25);
    std::vector<ServiceRow> rows;
    for (std::size_t i = 0; i < services; ++i) {
      rows.push_back(MakeRow("s" + std::to_string(i), 1));
    }
    HomeIndex index;
    const auto count = std::to_string(services);
    figures_.Add(
        "all home sets, 7100 members, services " + count, "us",
        MeanMicroseconds(1, [&](int) { index.Update(members, rows); }));
    figures_.Add("home sets after one change, 7100 members, services " + count,
                 "us", MeanMicroseconds(10, [&](int) {
                   members[17].ready = !members[17].ready;
                   index.Update(members, rows);
                 }));
  }

  std::uint64_t seed_;
  MeasurementList figures_{"fleet"};
};

}  // namespace

auto RunFleetBench(std::uint64_t seed) -> std::vector<Measurement> {
  return FleetBench(seed).Run();
}

}  // namespace flamingoyoke
