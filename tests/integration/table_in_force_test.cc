#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "integration/support/fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(table_in_force, .fini = &ChildProcess::KillAll, .timeout = 300);

constexpr std::size_t kVmCount = 4;
// The design allows new requests to a draining or removed target for 2 s.
constexpr auto kDrainTimeLimit = std::chrono::seconds(2);
constexpr int kLookupCount = 40;

auto SendLookups(BlockingHttp& http, Fleet& fleet, const std::string& name)
    -> void {
  std::vector<WorkOrder> orders;
  for (int index = 0; index < kLookupCount; ++index) {
    orders.push_back({"/stock", name + std::to_string(index), 1});
    http.StartCall(ToCall(
        orders.back(), fleet.vm(static_cast<std::size_t>(index) % fleet.size())
                           .caller_port()));
  }
  const auto answers = http.WaitForAll();
  for (std::size_t index = 0; index < answers.size(); ++index) {
    cr_assert_eq(answers[index].body, ExpectedBody(orders[index]),
                 "%s: status %d %s", orders[index].id.c_str(),
                 answers[index].status,
                 answers[index].Header("Flamingoyoke-Error").c_str());
  }
}

// Guards against a VM that exits or reports ready when the platform is down at
// startup.
Test(table_in_force, platform_down_at_start) {
  BlockingHttp http;
  const auto upstreams = StartUpstreams(2);
  Fleet fleet(2);
  fleet.PublishVms(http);
  fleet.platform().Publish(http, "table",
                           ExampleTable("association.csv", PortsOf(upstreams)));
  fleet.platform().SetMode(http, "down");
  fleet.StartAll();
  cr_assert(WaitUntil(
      [&] {
        return fleet.vm(0).IsLive(http) &&
               fleet.platform().Counters(http)["failed"].get<int>() > 2;
      },
      kFleetTimeout));
  cr_assert_not(fleet.vm(0).IsReady(http));
  fleet.platform().SetMode(http, "normal");
  cr_assert(fleet.WaitForRevision(http, 1), "the fleet does not recover");
  SendLookups(http, fleet, "lookup-");
}

// Guards against a new VM that applies an outdated table because its platform
// returns stale data.
Test(table_in_force, platform_stale_at_start) {
  BlockingHttp http;
  const auto upstreams = StartUpstreams(2);
  const auto table = ExampleTable("association.csv", PortsOf(upstreams));
  Fleet fleet(kVmCount);
  fleet.PublishVms(http);
  fleet.platform().Publish(http, "table", table);
  fleet.platform().Publish(http, "table", table);
  Platform stale;
  auto entries = nlohmann::json::array();
  for (std::size_t index = 0; index < kVmCount; ++index) {
    entries.push_back(fleet.vm(index).ListEntry());
  }
  stale.Publish(http, "vms", nlohmann::json({{"vms", entries}}).dump());
  stale.Publish(http, "table", table);
  for (std::size_t index = 1; index < kVmCount; ++index) {
    fleet.vm(index).Start(fleet.platform().port());
  }
  cr_assert(WaitUntil(
      [&] {
        return fleet.vm(1).RevisionInForce(http) == 2 &&
               fleet.vm(2).RevisionInForce(http) == 2;
      },
      kFleetTimeout));
  fleet.vm(0).Start(stale.port());
  cr_assert(fleet.WaitForRevision(http, 2), "the old table is still applied");
}

// Guards against failed requests while the table is replaced under load, and
// against requests to a removed target after the time limit.
Test(table_in_force, replaced_under_load) {
  BlockingHttp http;
  const auto upstreams = StartUpstreams(4, {"--slots", "4"});
  Fleet fleet(kVmCount);
  fleet.PublishVms(http);
  const auto all = PortsOf(upstreams);
  fleet.platform().Publish(http, "table", ExampleTable("association.csv", all));
  fleet.StartAll();
  cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  SendLookups(http, fleet, "before-");
  const std::vector<int> fewer(all.begin() + 1, all.end());
  fleet.platform().Publish(http, "table",
                           ExampleTable("association.csv", fewer));
  SendLookups(http, fleet, "during-");
  cr_assert(fleet.WaitForRevision(http, 2), "the new table is not applied");
  http.RunFor(kDrainTimeLimit);
  const auto before = upstreams[0]->Counters(http)["received"].get<int>();
  SendLookups(http, fleet, "after-");
  cr_assert_eq(upstreams[0]->Counters(http)["received"].get<int>(), before);
}

// Guards against an invalid table that replaces a valid one or is not reported.
Test(table_in_force, faulty_table_is_refused_and_reported) {
  BlockingHttp http;
  const auto upstreams = StartUpstreams(2);
  const auto table = ExampleTable("association.csv", PortsOf(upstreams));
  Fleet fleet(kVmCount);
  fleet.PublishVms(http);
  fleet.platform().Publish(http, "table", table);
  fleet.StartAll();
  cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  auto faulty = table;
  faulty.replace(faulty.find(",0.6,"), 5, ",6.0,");
  fleet.platform().Publish(http, "table", faulty);
  cr_assert(WaitUntil(
      [&] {
        for (std::size_t index = 0; index < kVmCount; ++index) {
          const auto report = fleet.vm(index).Report(http);
          if (!report.is_null() && !report["refused"].is_null()) {
            const auto reason = report["refused"]["reason"].get<std::string>();
            return reason.find("floor") != std::string::npos &&
                   reason.find("6.0") != std::string::npos;
          }
        }
        return false;
      },
      kFleetTimeout));
  for (std::size_t index = 0; index < kVmCount; ++index) {
    cr_assert_eq(fleet.vm(index).RevisionInForce(http), 1);
  }
  SendLookups(http, fleet, "lookup-");
  fleet.platform().Publish(http, "table", table);
  cr_assert(fleet.WaitForRevision(http, 3), "the repaired table is not used");
}

}  // namespace
}  // namespace flamingoyoke::integration
