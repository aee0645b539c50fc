#include "decision/fleet/vm_contacts.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "decision/fleet/member_record.h"
#include "decision/fleet/membership_timing.h"

namespace flamingoyoke {
namespace {

// A node that hears fewer than kBootstrapLinks peers for this long contacts
// other live VMs, without waiting until it declares its peers dead: they may
// have been lost together. Longer than the period of the slow heartbeats.
constexpr Duration kMaxPeerSilence = std::chrono::milliseconds(1300);

// Returns `count` of `vms`, each chosen independently; at most as many as there
// are.
auto Draw(const std::vector<VmId>& vms, std::size_t count, Random& random)
    -> std::vector<VmId> {
  std::vector<VmId> drawn;
  for (std::size_t i = 0; i < std::min(count, vms.size()); ++i) {
    drawn.push_back(vms[random.Below(vms.size())]);
  }
  return drawn;
}

}  // namespace

auto VmContacts::Start(TimePoint now) -> void {
  bootstrap_until_ = now + kBootstrapTimeout;
}

auto VmContacts::Resume(TimePoint now) -> void {
  Start(now);
  next_contact_ = now;
}

auto VmContacts::TakeAbsent(const MemberList& list,
                            const PeerLinks& links,
                            Random& random,
                            TimePoint now) -> std::vector<VmId> {
  const bool is_bootstrapping =
      !IsBootstrapOver(now) && links.TwoWay(now).size() < kBootstrapLinks;
  if (!is_bootstrapping && now < next_contact_) {
    return {};
  }
  std::vector<VmId> absent;
  for (const auto& [vm, record] : list.records()) {
    if (record.member.liveness == Liveness::kDead ||
        record.member.liveness == Liveness::kUnproven) {
      absent.push_back(vm);
    }
  }
  auto contacts =
      Draw(absent, is_bootstrapping ? kBootstrapContacts : 1, random);
  const auto share =
      absent.empty()
          ? 0.0
          : static_cast<double>(list.present_count() + 1) /
                (kContactsPerSecond * static_cast<double>(absent.size()));
  const auto period = std::max(
      kMinContactPeriod, Duration(static_cast<std::int64_t>(share * 1e6)));
  // The jitter keeps nodes that start together from acting in lockstep.
  next_contact_ =
      now + period / 2 +
      Duration(random.Below(static_cast<std::uint64_t>(period.count())));
  return contacts;
}

auto VmContacts::ReplacementsForSilent(const MemberList& list,
                                       const PeerLinks& links,
                                       Random& random,
                                       TimePoint now) -> std::vector<VmId> {
  std::size_t heard = 0;
  for (const auto& [vm, link] : links.links()) {
    const bool is_heard =
        link.IsTwoWay(now) && link.Silence(now) <= kMaxPeerSilence;
    heard += is_heard ? 1 : 0;
  }
  if (heard >= kBootstrapLinks) {
    return {};
  }
  std::vector<VmId> others;
  for (const auto& [vm, record] : list.records()) {
    if (IsPresent(record) && !links.links().contains(vm)) {
      others.push_back(vm);
    }
  }
  return Draw(others, kBootstrapContacts, random);
}

}  // namespace flamingoyoke
