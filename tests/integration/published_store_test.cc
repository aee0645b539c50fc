#include <criterion/criterion.h>

#include <array>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "integration/support/published_fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(published_store, .fini = &ChildProcess::KillAll, .timeout = 300);

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
// Bytes in a pipe of 4 KiB into which no further line of the log may fit.
constexpr int kFullPipe = 3800;
constexpr std::size_t kGatewayCount = PublishedStoreFleet::kDefaultGateways;

}  // namespace

// Guards against failures on the path from a caller over the published routes
// to a registered target, and against modified answers.
Test(published_store, serves_a_request_and_names_the_entries) {
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  const auto answer = fleet.Call(0, "/book/1", "first");
  cr_assert_eq(answer.status, kOk, "status %d: %s", answer.status,
               answer.body.c_str());
  cr_assert_eq(answer.body, "body of first");
  cr_assert_eq(answer.Header("X-Request-Id"), "first");
  cr_assert(!answer.Header("X-Gateway-Signature").empty());
  cr_assert_eq(fleet.CountRuns("first"), 1);
  cr_assert_eq(fleet.Call(0, "/none/1", "unrouted").status, 404);
  cr_assert(WaitUntil(
      [&] {
        const auto addresses = fleet.http().Send(
            {.server = fleet.DirectoryOf(2),
             .target = "/flamingoyoke/resolve?name=x&region=r&zone=a"});
        return addresses.status == kOk &&
               nlohmann::json::parse(addresses.body)["addrs"].size() == 2;
      },
      kFleetTimeout));
}

// Guards against non-repeatable requests that run twice, and against answers
// that report an executed request as not run, for each target failure mode.
Test(published_store, runs_once_only_work_at_most_once) {
  PublishedStoreFleet fleet(3);
  fleet.WaitForAll();
  constexpr std::size_t kModeCount = 11;
  const char* const modes[kModeCount] = {
      "error",     "reset",       "shed",      "foreign",
      "cut",       "cut-reset",   "no-length", "no-length-reset",
      "drop-idle", "last-answer", "normal"};
  int number = 0;
  for (const auto* mode : modes) {
    fleet.target(0).SetMode(fleet.http(), mode);
    fleet.target(1).SetMode(fleet.http(), mode);
    for (int i = 0; i < 12; ++i) {
      const auto id = "order-" + std::to_string(++number);
      const auto answer = fleet.Call(
          static_cast<std::size_t>(i) % kGatewayCount, "/book/1", id);
      const auto runs = fleet.CountRuns(id);
      cr_assert_leq(runs, 1, "%s %s", mode, id.c_str());
      if (answer.status == kOk) {
        cr_assert_eq(answer.body, "body of " + id);
        cr_assert_eq(runs, 1);
      }
      if (answer.status == 503 || answer.status == 429) {
        cr_assert_eq(runs, 0, "%s %s", mode, id.c_str());
      }
    }
  }
}

// Guards against a status that promises that a request has not run though its
// target ran it, in answers that are kept until their end and in longer ones.
Test(published_store, promises_nothing_of_requests_that_ran) {
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  int number = 0;
  for (const int status : {503, 429, 408}) {
    fleet.target(0).SetStatus(fleet.http(), status);
    fleet.target(1).SetStatus(fleet.http(), status);
    for (const auto* bytes : {"0", "300000"}) {
      const auto id = "order-" + std::to_string(++number);
      const auto answer = fleet.http().Send(
          {.server = fleet.FrontOf(0),
           .method = "POST",
           .target = "/book/1",
           .headers = {{"X-Request-Id", id}, {"X-Answer-Bytes", bytes}},
           .body = "order"});
      cr_assert_eq(fleet.CountRuns(id), 1);
      cr_assert_eq(answer.status, kBadGateway, "%d %s: %d", status, bytes,
                   answer.status);
      cr_assert(answer.Header("X-Gateway-Signature").empty());
    }
  }
}

// Guards against returning an error for a safe request that a retry on another
// target would have answered.
Test(published_store, repeats_safe_work_on_another_target) {
  PublishedStoreFleet fleet(3);
  fleet.WaitForAll();
  fleet.target(0).SetMode(fleet.http(), "error");
  int failed = 0;
  for (int i = 0; i < 20; ++i) {
    const auto answer =
        fleet.Call(0, "/look/1", "look-" + std::to_string(i), "GET");
    failed += answer.status == kOk ? 0 : 1;
  }
  cr_assert_leq(failed, 1);
}

// Guards against new requests to a target more than two seconds after it was
// registered as draining.
Test(published_store, gives_no_work_to_a_leaving_target) {
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  fleet.Register(0, "draining");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const auto before = fleet.target(0).Counters(fleet.http())["runs"];
  for (int i = 0; i < 15; ++i) {
    fleet.Call(static_cast<std::size_t>(i) % kGatewayCount, "/book/1",
               "drain-" + std::to_string(i));
  }
  cr_assert_eq(fleet.target(0).Counters(fleet.http())["runs"], before);
  cr_assert_eq(fleet.Call(0, "/book/1", "after-drain").status, kOk);
}

// Waits until live targets that a reader misses after its start would have
// registered again, after which it drops a removed target at once.
auto WaitUntilSettled(PublishedStoreFleet& fleet) -> void {
  fleet.WaitForAll();
  std::this_thread::sleep_for(std::chrono::milliseconds(3500));
}

// Checks that target 0, whose entry was removed at `removed`, gets no requests
// from two seconds later on.
auto ExpectDropped(PublishedStoreFleet& fleet,
                   std::chrono::steady_clock::time_point removed) -> void {
  std::this_thread::sleep_until(removed + std::chrono::seconds(2));
  const auto runs = [&] {
    return fleet.target(0).Counters(fleet.http())["runs"].get<int>();
  };
  const auto before = runs();
  constexpr int kCalls = 30;
  for (int i = 0; i < kCalls; ++i) {
    fleet.Call(static_cast<std::size_t>(i) % kGatewayCount, "/look/1",
               "removed-" + std::to_string(i), "GET");
  }
  cr_assert_eq(runs(), before, "%d of %d requests went to the removed target",
               runs() - before, kCalls);
}

// Guards against requests to a removed target because the connections of all
// waiting watches were closed or reset just before.
Test(published_store, drops_a_removed_target_after_watches_were_cut) {
  for (const std::string end : {"cut", "reset"}) {
    PublishedStoreFleet fleet(2);
    WaitUntilSettled(fleet);
    fleet.EndAllWatches(end);
    ExpectDropped(fleet, fleet.Unregister(0));
  }
}

// Guards against requests to a removed target because the connections of all
// waiting watches went silent just before, as a link does that forgets them.
Test(published_store, drops_a_removed_target_after_watches_went_silent) {
  PublishedStoreFleet fleet(2);
  WaitUntilSettled(fleet);
  fleet.EndAllWatches("silent");
  ExpectDropped(fleet, fleet.Unregister(0));
}

// Guards against requests to a removed target because the connections of the
// lists that follow a compacted history were closed at first.
Test(published_store, drops_a_removed_target_after_lists_were_cut) {
  PublishedStoreFleet fleet(2);
  WaitUntilSettled(fleet);
  fleet.SendToStore("PUT", "/control/lists?cut=1");
  const auto removed = fleet.Unregister(0, "&compact=1");
  fleet.EndAllWatches("cut");
  fleet.SendToStore("PUT", "/control/lists?cut=0");
  ExpectDropped(fleet, removed);
}

// Returns the size of a fleet whose gateways can lose the store one by one.
auto LinkedSize() -> FleetSize {
  return {.targets = {{"orders", 2}}, .gateways = 7, .has_store_links = true};
}

// Publishes a configuration and starts all gateways.
auto StartAndSettle(PublishedStoreFleet& fleet) -> void {
  fleet.PublishRoutes("r4", {"/book/"});
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    fleet.StartGateway(i);
  }
  WaitUntilSettled(fleet);
}

// Takes the store from the gateways that read it with `lose`, which gets the
// link of one, while a target leaves and all other gateways reach the store.
template <typename Lose>
auto ExpectDroppedWithoutReaders(const Lose& lose) -> void {
  PublishedStoreFleet fleet(LinkedSize());
  StartAndSettle(fleet);
  const auto readers = fleet.FindReaders();
  // Others that reach the store must be left.
  cr_assert_leq(readers.size(), 4U);
  for (const auto reader : readers) {
    lose(fleet, fleet.store_link(reader));
  }
  ExpectDropped(fleet, fleet.Unregister(0));
}

// Guards against requests to a removed target because the gateways that read
// the store lost it just before, by silent or refused connections.
Test(published_store, drops_a_removed_target_after_its_readers_were_cut_off) {
  for (const std::string fault : {"cut", "refuse"}) {
    ExpectDroppedWithoutReaders([&](PublishedStoreFleet& fleet, Proxy& link) {
      link.Inject(fleet.http(), "kind=" + fault);
    });
  }
}

// Guards against the same if the store rejects the calls of these gateways.
Test(published_store, drops_a_removed_target_after_its_readers_were_rejected) {
  ChildProcess rejecting(ProgramPath("tests/standins/standin_store"), {});
  const auto port = rejecting.ReadNumber("port", kStartTimeout);
  ExpectDroppedWithoutReaders([&](PublishedStoreFleet& fleet, Proxy& link) {
    fleet.http().Put(port, "/control/mode?down=1");
    link.SetServer(fleet.http(), port);
    link.Inject(fleet.http(), "kind=reset");
  });
}

// Guards against losing live targets after an outage of the store in which
// their entries expired, until they could register again.
Test(published_store, keeps_targets_whose_entries_expired_in_an_outage) {
  PublishedStoreFleet fleet(LinkedSize());
  StartAndSettle(fleet);
  const auto inject = [&](const std::string& fault) {
    for (std::size_t i = 0; i < fleet.gateways(); ++i) {
      fleet.store_link(i).Inject(fleet.http(), "kind=" + fault);
    }
  };
  const auto runs = [&] {
    return fleet.target(0).Counters(fleet.http())["runs"].get<int>();
  };
  inject("cut");
  std::this_thread::sleep_for(std::chrono::seconds(5));
  fleet.Unregister(0);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  inject("none");
  const auto before = runs();
  const auto back = std::chrono::steady_clock::now();
  int calls = 0;
  while (std::chrono::steady_clock::now() - back <
         std::chrono::milliseconds(1500)) {
    fleet.Call(static_cast<std::size_t>(calls) % fleet.gateways(), "/look/1",
               "expired-" + std::to_string(calls), "GET");
    ++calls;
  }
  // Dropped, it would get next to none.
  const auto served = runs() - before;
  fleet.Register(0, "ready");
  cr_assert_gt(4 * served, calls, "%d of %d", served, calls);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const auto registered = runs();
  for (int i = 0; i < 30; ++i) {
    fleet.Call(static_cast<std::size_t>(i) % fleet.gateways(), "/look/1",
               "registered-" + std::to_string(i), "GET");
  }
  cr_assert_gt(runs(), registered);
}

// Guards against a store outage that stops traffic or restores an older
// configuration, and against changes that are missed when the store has
// compacted its history.
Test(published_store, outlasts_the_store_and_its_history) {
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  fleet.SendToStore("PUT", "/control/mode?down=1");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  cr_assert_eq(fleet.Call(0, "/book/1", "store-down").status, kOk);
  fleet.PublishRoutes("r9", {"/book/", "/new/"});
  fleet.SendToStore("PUT", "/control/compact");
  fleet.SendToStore("PUT", "/control/mode?down=0");
  for (std::size_t i = 0; i < kGatewayCount; ++i) {
    cr_assert(WaitUntil(
        [&] { return fleet.Call(i, "/new/1", "new-route").status == kOk; },
        kFleetTimeout));
  }
  // An older version must not replace it.
  fleet.PublishRoutes("r5", {"/book/"});
  std::this_thread::sleep_for(std::chrono::seconds(1));
  cr_assert_eq(fleet.Call(0, "/new/1", "still-there").status, kOk);
}

// Guards against VMs that end or stop following the store because another
// program wrote an odd entry among the targets' ones.
Test(published_store, follows_the_store_beside_odd_entries) {
  PublishedStoreFleet fleet(2);
  constexpr std::size_t kDepth = 100'000;
  const auto entry = fleet.target(0).RegistrationJson("ready");
  const auto with = [&](const std::string& from, const std::string& to) {
    auto text = entry;
    return text.replace(text.find(from), from.size(), to);
  };
  const std::vector<std::string> odd = {
      std::string(kDepth, '['),
      "{\"extra\":" + std::string(kDepth, '[') + std::string(kDepth, ']') +
          "," + entry.substr(1),
      with("\"slots\":4", "\"slots\":1e300"),
      with("\"slots\":4", "\"slots\":4000000000"),
      with("\"born\":1000", "\"born\":1e999"),
      with("127.0.0.1:", "127.0.0.1:9"),
      "\xFF\xFE",
      "[]",
      "7"};
  const auto publish_all = [&](const std::string& prefix) {
    for (std::size_t i = 0; i < odd.size(); ++i) {
      fleet.RegisterText(prefix + std::to_string(i), odd[i]);
    }
  };
  publish_all("before-");
  fleet.WaitForAll();
  publish_all("during-");
  fleet.PublishRoutes("r9", {"/book/", "/new/"});
  for (std::size_t i = 0; i < kGatewayCount; ++i) {
    cr_assert(WaitUntil(
        [&] { return fleet.Call(i, "/new/1", "new-route").status == kOk; },
        kFleetTimeout));
  }
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(
        fleet.Call(0, "/look/1", "odd-" + std::to_string(i), "GET").status,
        kOk);
  }
}

// Guards against a fleet that cannot restart after all VMs were killed at once.
Test(published_store, recovers_after_all_gateways_were_killed) {
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  for (std::size_t i = 0; i < kGatewayCount; ++i) {
    fleet.gateway(i).Signal(SIGKILL);
    fleet.gateway(i).WaitForExit(std::chrono::seconds(20));
  }
  for (std::size_t i = 0; i < kGatewayCount; ++i) {
    fleet.StartGateway(i);
  }
  fleet.WaitForAll();
  cr_assert_eq(fleet.Call(1, "/book/1", "back").status, kOk);
}

// Starts `count` non-repeatable requests to the first gateway.
auto StartOrders(BlockingHttp& callers, PublishedStoreFleet& fleet, int count)
    -> void {
  for (int i = 0; i < count; ++i) {
    callers.StartCall(
        {.server = fleet.FrontOf(0),
         .method = "POST",
         .target = "/book/1",
         .headers = {{"X-Request-Id", "stop-" + std::to_string(i)},
                     {"X-Request-Deadline-Ms", "3000"}},
         .body = "order"});
  }
}

// Guards against a graceful shutdown that aborts requests in flight, and
// against a VM that reports ready while it shuts down.
Test(published_store, sigterm_finishes_what_runs) {
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  BlockingHttp callers;
  StartOrders(callers, fleet, 8);
  callers.RunFor(std::chrono::milliseconds(15));
  fleet.gateway(0).Signal(SIGTERM);
  for (const auto& answer : callers.WaitForAll()) {
    cr_assert_eq(answer.status, kOk);
  }
  cr_assert_not(fleet.IsReady(0));
  cr_assert_eq(fleet.gateway(0).WaitForExit(std::chrono::seconds(20)), 0);
}

// Guards against a further signal during a graceful shutdown that aborts the
// requests at which targets are at work.
Test(published_store, repeated_signals_finish_what_runs) {
  constexpr int kLongServiceMs = 1200;
  constexpr int kOrderCount = 6;
  PublishedStoreFleet fleet(2, kLongServiceMs);
  fleet.WaitForAll();
  BlockingHttp callers;
  StartOrders(callers, fleet, kOrderCount);
  callers.RunFor(std::chrono::milliseconds(300));
  for (const auto signal : {SIGTERM, SIGTERM, SIGHUP, SIGINT, SIGTERM}) {
    fleet.gateway(0).Signal(signal);
    callers.RunFor(std::chrono::milliseconds(50));
  }
  for (const auto& answer : callers.WaitForAll()) {
    cr_assert_eq(answer.status, kOk, "status %d", answer.status);
  }
  cr_assert_eq(fleet.gateway(0).WaitForExit(std::chrono::seconds(20)), 0);
}

// Guards against a process that a further signal ends while it exits: its last
// log lines are lost and its exit code says that it was killed.
Test(published_store, signals_during_the_exit_keep_its_code) {
  PublishedStoreFleet fleet(1);
  fleet.WaitForAll();
  constexpr std::array<int, 3> kSignals = {SIGTERM, SIGINT, SIGHUP};
  auto& process = fleet.gateway(0);
  for (std::size_t i = 0; process.IsRunning(); ++i) {
    process.Signal(kSignals.at(i % kSignals.size()));
    std::this_thread::sleep_for(std::chrono::microseconds(100));
  }
  cr_assert_eq(process.WaitForExit(std::chrono::seconds(20)), 0);
}

// Guards against a gateway that stops serving or doesn't end because its log is
// not read, on standard output or on standard error.
Test(published_store, an_unread_log_holds_nothing_up) {
  PublishedStoreFleet fleet(2);
  fleet.RestartGateway(0, "debug", UnreadPipe{});
  fleet.RestartGateway(1, "debug", UnreadPipe{});
  fleet.WaitForAll();
  int requests = 0;
  // Each request without a route is a line of the log.
  const auto check_requests = [&](const std::string& path, int status,
                                  int count) {
    for (int i = 0; i < count; ++i) {
      const auto id = std::to_string(++requests);
      for (const std::size_t gateway : {0, 1}) {
        const auto answer = fleet.Call(gateway, path + id, id);
        cr_assert_eq(answer.status, status, "%s: %d", id.c_str(),
                     answer.status);
      }
    }
  };
  const auto check_ready = [&] {
    cr_assert(fleet.IsReady(0));
    cr_assert(fleet.IsReady(1));
  };
  // More lines than wait for the writer.
  check_requests("/none/", kNotFound, 700);
  cr_assert_gt(fleet.gateway(0).UnreadBytes(), kFullPipe);
  cr_assert_gt(fleet.gateway(1).UnreadBytes(), kFullPipe);
  check_requests("/look/", kOk, 100);
  check_ready();
  fleet.gateway(1).CloseOutput();
  check_requests("/none/", kNotFound, 100);
  check_requests("/look/", kOk, 100);
  check_ready();
  for (const std::size_t gateway : {0, 1}) {
    fleet.gateway(gateway).Signal(SIGTERM);
    cr_assert_eq(fleet.gateway(gateway).WaitForExit(std::chrono::seconds(20)),
                 0);
  }
}

}  // namespace flamingoyoke::integration
