#include "decision/fleet/table_dissemination.h"

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>

#include "decision/fleet/rendezvous.h"
#include "unit/decision/fleet/fake_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(100));

template <typename Action>
auto Find(const std::vector<TableDisseminationAction>& actions)
    -> const Action* {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

auto AskedPeer(const std::vector<TableDisseminationAction>& actions)
    -> std::string {
  const auto* send = Find<SendToPeer>(actions);
  return send != nullptr && std::holds_alternative<TablePull>(send->message)
             ? send->peer.value()
             : "";
}

auto From(const std::string& peer, PeerMessage message) -> PeerEnvelope {
  return {VmId(peer), Incarnation(1), std::move(message)};
}

auto DigestFor(std::uint64_t revision, const std::string& text) -> TableDigest {
  return {0, Revision(revision), HashOf(text)};
}

auto Accept(TableDissemination& dissemination,
            std::uint64_t revision,
            const std::string& text) -> void {
  dissemination.OnEvent(TableTextRead{0, Revision(revision), text}, kStart);
  dissemination.OnEvent(TableChecked{DigestFor(revision, text), true, ""},
                        kStart);
}

// Guards against a peer that dies before it answers a pull.
Test(table_dissemination, asks_another_peer_after_a_timeout) {
  TableDissemination dissemination(1, Random(1));
  const auto digest = DigestFor(2, "new");
  cr_assert(AskedPeer(dissemination.OnEvent(From("a", TableAnnounce{digest}),
                                            kStart)) == "a");
  cr_assert(
      AskedPeer(dissemination.OnEvent(From("b", TableAnnounce{digest}), kStart))
          .empty());
  cr_assert(AskedPeer(dissemination.OnEvent(TableDisseminationTimer{},
                                            kStart + kPullTimeout)) == "b");
}

// Guards against a late change without information about what delayed it.
Test(table_dissemination, reports_origin_and_delay_of_a_version) {
  TableDissemination dissemination(1, Random(1));
  const auto digest = DigestFor(2, "new");
  dissemination.OnEvent(From("a", TableAnnounce{digest}), kStart);
  dissemination.OnEvent(From("b", TableAnnounce{digest}), kStart);
  dissemination.OnEvent(TableDisseminationTimer{}, kStart + kPullTimeout);
  const auto arrival = kStart + kPullTimeout + seconds(1);
  dissemination.OnEvent(From("a", TableData{digest, "new"}), arrival);
  const auto actions =
      dissemination.OnEvent(TableChecked{digest, true, ""}, arrival);
  const auto* accepted = Find<TableAccepted>(actions);
  cr_assert(accepted != nullptr);
  cr_assert_eq(accepted->origin.peer.value(), std::string("a"));
  cr_assert(accepted->origin.since_announced == kPullTimeout + seconds(1));
  cr_assert_geq(accepted->origin.pulls, 2U);
}

// Load: many targets leave at once, so that there is a new version each 25 ms,
// and a VM works on each for 10 ms. Guards against VMs that use up their
// processor share by it.
Test(table_dissemination, pauses_between_versions_in_proportion_to_their_cost) {
  constexpr Duration kCost = std::chrono::milliseconds(10);
  constexpr Duration kInterval = std::chrono::milliseconds(25);
  TableDissemination dissemination(1, Random(1), FirstRead::kBeforeReady);
  dissemination.OnEvent(TableDisseminationStarted{}, kStart);
  Accept(dissemination, 1, "1");
  dissemination.OnEvent(SourceRead{kStart}, kStart);
  int pulls = 0;
  for (int i = 2; i <= 80; ++i) {
    const auto text = std::to_string(i);
    const auto digest = DigestFor(static_cast<std::uint64_t>(i), text);
    const auto announced = kStart + i * kInterval;
    auto actions =
        dissemination.OnEvent(From("a", TableAnnounce{digest}), announced);
    // The pull may come with the announcement or with the timer after it.
    auto now = announced;
    for (int tick = 0; tick < 5; ++tick, now += kInterval / 5) {
      if (!AskedPeer(actions).empty()) {
        ++pulls;
        dissemination.OnEvent(From("a", TableData{digest, text}), now);
        dissemination.OnEvent(TableChecked{digest, true, "", kCost},
                              now + kCost);
      }
      actions = dissemination.OnEvent(TableDisseminationTimer{}, now);
    }
  }
  // Two seconds with 10 ms of work and 80 ms of pause a version.
  cr_assert_geq(pulls, 18);
  cr_assert_leq(pulls, 25);
}

// Guards against a change that waits long since the one before it was costly.
Test(table_dissemination, pulls_the_next_version_after_200_ms_at_most) {
  TableDissemination dissemination(1, Random(1), FirstRead::kBeforeReady);
  dissemination.OnEvent(TableDisseminationStarted{}, kStart);
  dissemination.OnEvent(SourceRead{kStart}, kStart);
  dissemination.OnEvent(TableTextRead{0, Revision(1), "one"}, kStart);
  dissemination.OnEvent(TableChecked{DigestFor(1, "one"), true, "", seconds(1)},
                        kStart);
  dissemination.OnEvent(SourceRead{kStart}, kStart);
  dissemination.OnEvent(TableTextRead{0, Revision(2), "two"}, kStart);
  dissemination.OnEvent(TableChecked{DigestFor(2, "two"), true, "", seconds(1)},
                        kStart);
  dissemination.OnEvent(TableDisseminationTimer{}, kStart);
  const auto digest = DigestFor(3, "three");
  const auto actions =
      dissemination.OnEvent(From("a", TableAnnounce{digest}), kStart);
  cr_assert(AskedPeer(actions).empty());
  const auto* wake = Find<WakeTableDisseminationAt>(actions);
  cr_assert(wake != nullptr);
  cr_assert(wake->at == kStart + std::chrono::milliseconds(200));
  cr_assert(AskedPeer(dissemination.OnEvent(TableDisseminationTimer{},
                                            wake->at)) == "a");
}

// Guards against a reader whose own view of the store lags behind that of its
// peers, and whose versions come so often that it never asks them.
Test(table_dissemination, versions_from_the_store_do_not_prolong_a_pause) {
  TableDissemination dissemination(1, Random(1), FirstRead::kBeforeReady);
  dissemination.OnEvent(TableDisseminationStarted{}, kStart);
  dissemination.OnEvent(SourceRead{kStart}, kStart);
  const auto newest = DigestFor(1000, "newest");
  std::optional<TimePoint> asked;
  for (int i = 1; i <= 20; ++i) {
    const auto now = kStart + i * std::chrono::milliseconds(50);
    const auto text = std::to_string(i);
    const auto revision = static_cast<std::uint64_t>(i);
    const std::vector<TableDisseminationEvent> events = {
        SourceRead{now}, TableTextRead{0, Revision(revision), text},
        TableChecked{DigestFor(revision, text), true, "", seconds(1)},
        From("a", TableAnnounce{newest})};
    for (const auto& event : events) {
      const auto actions = dissemination.OnEvent(event, now);
      // The first versions make this VM current; before, it asks at once.
      if (i > 2 && !asked && !AskedPeer(actions).empty()) {
        asked = now;
      }
    }
  }
  cr_assert(asked.has_value());
  cr_expect_leq(ToMilliseconds(*asked - kStart), 500);
}

// Guards against a VM that starts while targets register and isn't ready for
// long, as it pauses before each version.
Test(table_dissemination, a_vm_that_is_not_current_pulls_without_a_pause) {
  TableDissemination dissemination(1, Random(1), FirstRead::kBeforeReady);
  dissemination.OnEvent(TableDisseminationStarted{}, kStart);
  dissemination.OnEvent(TableTextRead{0, Revision(1), "one"}, kStart);
  dissemination.OnEvent(TableChecked{DigestFor(1, "one"), true, "", seconds(1)},
                        kStart);
  cr_assert(AskedPeer(dissemination.OnEvent(
                From("a", TableAnnounce{DigestFor(2, "two")}), kStart)) == "a");
}

// Guards against corrupt data that is put in force or blocks further pulls.
Test(table_dissemination, drops_a_text_that_does_not_match_its_digest) {
  TableDissemination dissemination(1, Random(1));
  const auto digest = DigestFor(2, "new");
  dissemination.OnEvent(From("a", TableAnnounce{digest}), kStart);
  dissemination.OnEvent(From("b", TableAnnounce{digest}), kStart);
  const auto actions =
      dissemination.OnEvent(From("a", TableData{digest, "damaged"}), kStart);
  cr_assert(Find<CheckTable>(actions) == nullptr);
  cr_assert(AskedPeer(actions) == "b");
}

// Guards against an older table from a stale service or peer.
Test(table_dissemination, revision_never_goes_back) {
  TableDissemination dissemination(1, Random(1));
  Accept(dissemination, 5, "five");
  const auto read =
      dissemination.OnEvent(TableTextRead{0, Revision(4), "four"}, kStart);
  cr_assert(Find<CheckTable>(read) == nullptr);
  const auto data = dissemination.OnEvent(
      From("a", TableData{DigestFor(4, "four"), "four"}), kStart);
  cr_assert(Find<CheckTable>(data) == nullptr);
  // A check that completes late must not replace a newer version either.
  dissemination.OnEvent(TableTextRead{0, Revision(6), "six"}, kStart);
  dissemination.OnEvent(TableTextRead{0, Revision(7), "seven"}, kStart);
  dissemination.OnEvent(TableChecked{DigestFor(7, "seven"), true, ""}, kStart);
  dissemination.OnEvent(TableChecked{DigestFor(6, "six"), true, ""}, kStart);
  cr_assert(dissemination.InForce(0)->revision == Revision(7));
}

// Guards against reading or pulling a rejected table repeatedly: the watch
// waits for a later revision, and announcements of the rejected one are
// ignored.
Test(table_dissemination, remembers_a_rejected_version) {
  TableDissemination dissemination(1, Random(1));
  Accept(dissemination, 5, "five");
  dissemination.OnEvent(TableTextRead{0, Revision(6), "bad"}, kStart);
  const auto actions = dissemination.OnEvent(
      TableChecked{DigestFor(6, "bad"), false, "row 2"}, kStart);
  cr_assert(Find<TableRejected>(actions) != nullptr);
  const auto* role = Find<ReaderRoleSet>(actions);
  cr_assert(role != nullptr);
  cr_assert(role->known == Revision(6));
  cr_assert(dissemination.InForce(0)->revision == Revision(5));
  const auto again = dissemination.OnEvent(
      From("a", TableAnnounce{DigestFor(6, "bad")}), kStart);
  cr_assert(Find<SendToPeer>(again) == nullptr);
  cr_assert(Find<CheckTable>(dissemination.OnEvent(
                TableTextRead{0, Revision(6), "bad"}, kStart)) == nullptr);
}

// Guards against heartbeats that grow with the number of shards.
Test(table_dissemination, sums_the_digests_of_many_shards) {
  TableDissemination full(100, Random(1));
  for (std::uint32_t shard = 0; shard < 100; ++shard) {
    const auto text = std::to_string(shard);
    full.OnEvent(TableTextRead{shard, Revision(1), text}, kStart);
    full.OnEvent(TableChecked{{shard, Revision(1), HashOf(text)}, true, ""},
                 kStart);
  }
  cr_assert(full.IsComplete());
  cr_assert_eq(full.Digests().size(), 1);
  TableDissemination fresh(100, Random(2));
  Heartbeat heartbeat;
  heartbeat.tables = full.Digests();
  const auto asked = fresh.OnEvent(From("a", heartbeat), kStart);
  const auto* pull = Find<SendToPeer>(asked);
  cr_assert(pull != nullptr);
  cr_assert_eq(std::get<TablePull>(pull->message).shard, kAllShards);
  std::size_t announced = 0;
  for (const auto& action :
       full.OnEvent(From("b", TablePull{kAllShards, Revision()}), kStart)) {
    announced += std::holds_alternative<SendToPeer>(action) ? 1 : 0;
  }
  cr_assert_eq(announced, 100);
}

auto MakeFleet() -> FakeFleet {
  return MakeRunningFleet({.nodes = 16});
}

auto FirstReader(const FakeFleet& fleet) -> std::size_t {
  std::size_t index = 0;
  while (!fleet.nodes()[index].is_reader) {
    ++index;
  }
  return index;
}

// Guards against a table that is only distributed once all readers reach the
// service: one reader is enough.
Test(table_dissemination, one_reader_is_enough) {
  auto fleet = MakeFleet();
  const auto reader = FirstReader(fleet);
  fleet.SetService([reader](std::size_t node) { return node == reader; });
  fleet.Publish(2);
  // 3 s is the bound at 40 nodes.
  cr_assert(fleet.RunUntil([&] { return fleet.AllHave(2); }, seconds(3)));
}

// Guards against a wrong number of readers in a failure domain.
Test(table_dissemination, two_vms_of_each_failure_domain_read) {
  auto fleet = MakeFleet();
  std::map<std::string, int> readers;
  for (const auto& node : fleet.nodes()) {
    readers[node.self.failure_domain.value()] += node.is_reader ? 1 : 0;
  }
  cr_assert_eq(readers.size(), 4);
  for (const auto& [domain, count] : readers) {
    cr_assert_eq(count, 2, "%s has %d", domain.c_str(), count);
  }
}

// Guards against a new VM that serves the old table of a stale service.
Test(table_dissemination, new_vm_gets_the_newest_table_from_its_peers) {
  auto fleet = MakeFleet();
  fleet.Publish(3);
  fleet.RunFor(seconds(3));
  fleet.Publish(2);
  fleet.Stop(7);
  fleet.Start(7);
  bool is_ready = false;
  for (int step = 0; step < 1000 && !is_ready; ++step) {
    fleet.RunFor(std::chrono::milliseconds(10));
    is_ready = fleet.nodes()[7].is_ready;
  }
  cr_assert(is_ready);
  cr_assert(fleet.RevisionOf(7) == Revision(3));
}

// Guards against a fleet that loses its table while the service is unreachable,
// and against VMs that cannot start without the service.
Test(table_dissemination, vms_start_while_the_service_is_unreachable) {
  auto fleet = MakeFleet();
  fleet.SetService([](std::size_t) { return false; });
  fleet.RunFor(std::chrono::hours(1));
  cr_assert(fleet.AllHave(1));
  fleet.Stop(2);
  fleet.Start(2);
  cr_assert(
      fleet.RunUntil([&] { return fleet.nodes()[2].is_ready; }, seconds(6)));
}

// Guards against a partition of the fleet that keeps an old table after it
// heals.
Test(table_dissemination, partition_catches_up_after_healing) {
  auto fleet = MakeFleet();
  fleet.SetLinks(
      [](std::size_t a, std::size_t b) { return (a < 8) == (b < 8); });
  fleet.SetService([](std::size_t node) { return node < 8; });
  fleet.RunFor(seconds(20));
  fleet.Publish(2);
  fleet.RunFor(seconds(5));
  cr_assert(fleet.RevisionOf(0) == Revision(2));
  cr_assert(fleet.RevisionOf(15) == Revision(1));
  fleet.SetLinks(nullptr);
  cr_assert(fleet.RunUntil([&] { return fleet.AllHave(2); }, seconds(10)));
}

// A lower revision of a later era of the store.
auto LaterDigest() -> TableDigest {
  return {0, Revision(19), HashOf("new"), StoreEra(2)};
}

// Returns the state of a VM that has LaterDigest in force.
auto MakeInLaterEra() -> TableDissemination {
  TableDissemination dissemination(1, Random(1));
  dissemination.OnEvent(TableTextRead{0, Revision(19), "new", StoreEra(2)},
                        kStart);
  dissemination.OnEvent(TableChecked{LaterDigest(), true, ""}, kStart);
  return dissemination;
}

}  // namespace

// Guards against VMs that keep a registry of before a return of the store: its
// revisions are given out again.
Test(table_dissemination, a_later_era_replaces_a_higher_revision) {
  TableDissemination dissemination(1, Random(1));
  Accept(dissemination, 60, "old");
  const auto announced =
      dissemination.OnEvent(From("a", TableAnnounce{LaterDigest()}), kStart);
  const auto* pull = Find<SendToPeer>(announced);
  cr_assert(pull != nullptr);
  cr_assert(std::get<TablePull>(pull->message).have_era == StoreEra());
  dissemination.OnEvent(From("a", TableData{LaterDigest(), "new"}), kStart);
  dissemination.OnEvent(TableChecked{LaterDigest(), true, ""}, kStart);
  cr_assert(*dissemination.InForce(0) == LaterDigest());
}

// Guards against a VM that was cut off over a return and brings back the
// registry of before.
Test(table_dissemination, an_earlier_era_changes_nothing) {
  auto dissemination = MakeInLaterEra();
  const auto announced = dissemination.OnEvent(
      From("a", TableAnnounce{DigestFor(60, "old")}), kStart);
  cr_assert(AskedPeer(announced).empty());
  const auto sent = dissemination.OnEvent(
      From("a", TableData{DigestFor(60, "old"), "old"}), kStart);
  cr_assert(Find<CheckTable>(sent) == nullptr);
}

// Guards against a VM that is never sent the registry of a later era, as the
// revision that it has is higher.
Test(table_dissemination, answers_a_pull_from_an_earlier_era) {
  auto dissemination = MakeInLaterEra();
  const auto earlier = dissemination.OnEvent(
      From("a", TablePull{0, Revision(60), StoreEra(1)}), kStart);
  const auto* answer = Find<SendToPeer>(earlier);
  cr_assert(answer != nullptr);
  cr_assert(std::get<TableData>(answer->message).digest == LaterDigest());
  const auto later = dissemination.OnEvent(
      From("a", TablePull{0, Revision(1), StoreEra(3)}), kStart);
  cr_assert(Find<SendToPeer>(later) == nullptr);
}

// Guards against whole tables that are sent to peers which have an earlier
// version.
Test(table_dissemination, answers_with_the_version_that_the_puller_has) {
  TableDissemination dissemination(1, Random(1));
  Accept(dissemination, 1, "one");
  Accept(dissemination, 2, "two");
  Accept(dissemination, 3, "three");
  const auto answer_to = [&](std::optional<std::uint64_t> have) {
    const auto actions = dissemination.OnEvent(
        From("a", TablePull{0, Revision(1), {}, have}), kStart);
    return std::get<TableData>(Find<SendToPeer>(actions)->message);
  };
  cr_assert_eq(answer_to(HashOf("one")).base->text, std::string("one"));
  cr_assert_eq(answer_to(HashOf("two")).base->text, std::string("two"));
  // Neither a VM that starts nor one with an unknown version has a base.
  cr_assert(answer_to(0).base->text.empty() && answer_to(0).base->hash == 0);
  cr_assert(answer_to(HashOf("four")).base->hash == 0);
  // A VM of an earlier release reads no compressed tables.
  cr_assert(!answer_to(std::nullopt).base);
}

// Guards against a peer whose compressed table cannot be read and is requested
// in the same way again.
Test(table_dissemination, requests_plain_text_after_an_unreadable_table) {
  TableDissemination dissemination(1, Random(1));
  Accept(dissemination, 1, "one");
  const auto digest = DigestFor(2, "two");
  const auto first =
      dissemination.OnEvent(From("a", TableAnnounce{digest}), kStart);
  const auto& pull = std::get<TablePull>(Find<SendToPeer>(first)->message);
  cr_assert(pull.have_hash == HashOf("one"));
  const auto second = dissemination.OnEvent(TableUnreadable{digest}, kStart);
  const auto& again = std::get<TablePull>(Find<SendToPeer>(second)->message);
  cr_assert(!again.have_hash);
}

// Guards against past versions that take up the memory of a small VM.
Test(table_history, bounds_versions_and_bytes) {
  TableHistory history;
  for (std::uint64_t hash = 1; hash <= kMaxPastVersions + 1; ++hash) {
    history.Add(0, hash, "text");
  }
  cr_assert(history.Find(0, 1) == nullptr);
  cr_assert(history.Find(0, 2) != nullptr);
  history.Add(0, 20, std::string(kMaxPastBytes, 'x'));
  cr_assert(history.Find(0, kMaxPastVersions + 1) == nullptr);
  history.Add(0, 21, std::string(2 * kMaxPastBytes, 'x'));
  cr_assert(history.Find(0, 20) == nullptr);
  cr_assert(history.Find(0, 21) != nullptr);
  cr_assert(history.Find(1, 21) == nullptr);
}

}  // namespace flamingoyoke
