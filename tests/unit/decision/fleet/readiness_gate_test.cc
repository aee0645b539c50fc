#include "decision/fleet/readiness_gate.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(100));

// Guards against serving the table of a stale configuration service while peers
// have a newer one.
Test(readiness_gate, waits_for_peers_that_the_list_shows) {
  ReadinessGate gate(kStart);
  ReadinessFacts facts{.is_listening = true,
                       .has_table = true,
                       .is_catching_up = false,
                       .has_list = true,
                       .other_vms = 39,
                       .two_way_peers = 1};
  cr_assert(!gate.IsReady(facts, kStart));
  facts.two_way_peers = 2;
  facts.is_catching_up = true;
  cr_assert(!gate.IsReady(facts, kStart));
  facts.is_catching_up = false;
  cr_assert(gate.IsReady(facts, kStart));
}

// Guards against trusting peers while the newest table can be read, and against
// waiting for a store that does not answer.
Test(readiness_gate, waits_for_a_current_source_before_it_trusts_peers) {
  ReadinessGate gate(kStart);
  ReadinessFacts facts{.is_listening = true,
                       .has_table = true,
                       .is_source_current = true,
                       .has_list = true,
                       .other_vms = 39,
                       .two_way_peers = 2};
  cr_assert(!gate.IsReady(facts, kStart));
  cr_assert(!gate.IsReady(facts, kStart + kSourceReadWait - Duration(1)));
  auto read = facts;
  read.has_read_newest = true;
  read.two_way_peers = 0;
  cr_assert(ReadinessGate(kStart).IsReady(read, kStart));
  cr_assert(gate.IsReady(facts, kStart + kSourceReadWait));
}

// Guards against a VM that never becomes ready because its peers are gone.
Test(readiness_gate, waits_for_a_bounded_time) {
  ReadinessGate gate(kStart);
  const ReadinessFacts facts{
      .is_listening = true, .has_table = true, .other_vms = 39};
  cr_assert(!gate.IsReady(facts, kStart + kStartupPeerWait - Duration(1)));
  cr_assert(gate.IsReady(facts, kStart + kStartupPeerWait));
}

// Guards against accepting callers without a table.
Test(readiness_gate, needs_a_table) {
  ReadinessGate gate(kStart);
  const ReadinessFacts facts{.is_listening = true, .has_list = true};
  cr_assert(!gate.IsReady(facts, kStart + kStartupPeerWait));
}

// Guards against callers that are sent to an address of another process.
Test(readiness_gate, needs_its_addresses) {
  ReadinessGate gate(kStart);
  ReadinessFacts facts{.has_table = true, .has_read_newest = true};
  cr_assert(!gate.IsReady(facts, kStart + kStartupPeerWait));
  facts.is_listening = true;
  cr_assert(gate.IsReady(facts, kStart));
}

// Guards against answering callers with stale state after a pause.
Test(readiness_gate, waits_again_after_a_pause) {
  ReadinessGate gate(kStart);
  ReadinessFacts facts{
      .is_listening = true, .has_table = true, .has_list = true};
  cr_assert(gate.IsReady(facts, kStart));
  const auto resumed = kStart + std::chrono::seconds(60);
  gate.Resume(resumed);
  facts.other_vms = 39;
  cr_assert(!gate.IsReady(facts, resumed));
  cr_assert(gate.IsReady(facts, resumed + kResumePeerWait));
}

}  // namespace
}  // namespace flamingoyoke
