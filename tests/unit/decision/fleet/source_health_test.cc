#include "decision/fleet/source_health.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "decision/fleet/entry_set.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kReaders = 3;

auto Members(std::size_t count) -> std::vector<Member> {
  std::vector<Member> members(count);
  for (std::size_t i = 0; i < count; ++i) {
    members[i].id = VmId("vm-" + std::to_string(i));
    members[i].failure_domain = FailureDomainId(std::to_string(i % kReaders));
    members[i].liveness = Liveness::kAlive;
    members[i].ready = true;
  }
  return members;
}

auto UpdateHealth(SourceHealth& health,
                  const std::vector<Member>& members,
                  TimePoint now) -> void {
  health.UpdateMembers(members, ReaderVms(members, kReaders), now);
}

// Sets the store state that one VM announces.
auto SetLostSource(std::vector<Member>& members, const VmId& vm, bool lost)
    -> void {
  for (auto& member : members) {
    member.lost_source = member.id == vm ? lost : member.lost_source;
  }
}

}  // namespace

// Guards against a new reader that keeps departed targets for two seconds
// because VMs that had been cut off announced that they lost the store.
// Reproduces jutagatt scale-2 --seed 790409632209.
Test(source_health, ignores_vms_that_do_not_read) {
  auto members = Members(9);
  SourceHealth health;
  UpdateHealth(health, members, kStart);
  const auto readers = ReaderVms(members, kReaders);
  for (const auto& member : Members(9)) {
    const bool reads =
        std::find(readers.begin(), readers.end(), member.id) != readers.end();
    SetLostSource(members, member.id, !reads);
  }
  UpdateHealth(health, members, kStart + milliseconds(100));
  cr_assert(health.WasHealthy(kStart + milliseconds(100)));
}

// Guards against taking targets for removed when their registrations expired
// because the store failed.
Test(source_health, remembers_a_reader_that_lost_the_store) {
  auto members = Members(9);
  SourceHealth health;
  UpdateHealth(health, members, kStart);
  SetLostSource(members, ReaderVms(members, kReaders).front(), true);
  UpdateHealth(health, members, kStart + milliseconds(100));
  // Other VMs read from now on, and successfully.
  UpdateHealth(health, members, kStart + milliseconds(200));
  cr_assert_not(health.WasHealthy(kStart + milliseconds(4000)));
  cr_assert(health.WasHealthy(kStart + milliseconds(4100)));
}

// Guards against a store that counts as healthy because all VMs lost it long
// ago.
Test(source_health, is_unhealthy_while_all_vms_have_lost_the_store) {
  auto members = Members(4);
  for (auto& member : members) {
    member.lost_source = true;
  }
  SourceHealth health;
  for (int ms = 0; ms <= 20'000; ms += 1000) {
    UpdateHealth(health, members, kStart + milliseconds(ms));
  }
  cr_assert_not(health.WasHealthy(kStart + milliseconds(20'000)));
}

}  // namespace flamingoyoke
