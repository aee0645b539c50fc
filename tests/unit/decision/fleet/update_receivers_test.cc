#include "decision/fleet/update_receivers.h"

#include <criterion/criterion.h>

#include <string>

#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

constexpr std::size_t kDomains = 4;
constexpr std::uint64_t kSeed = 7;

// Returns the links of a VM with two peers in each failure domain.
auto MakeLinks(std::size_t vm) -> std::vector<UpdateLink> {
  std::vector<UpdateLink> links;
  for (std::size_t domain = 0; domain < kDomains; ++domain) {
    for (int i = 0; i < 2; ++i) {
      links.push_back(
          {VmId(std::to_string(vm) + "-" + std::to_string(domain) + "-" +
                std::to_string(i)),
           domain == 0 ? LinkClass::kSameDomain : LinkClass::kOtherDomain,
           HashOf("domain " + std::to_string(domain))});
    }
  }
  return links;
}

// Copies that one change sends from a failure domain of `size` VMs to others.
auto CrossCopies(std::size_t size, std::uint64_t change) -> std::size_t {
  std::size_t copies = 0;
  for (std::size_t vm = 0; vm < size; ++vm) {
    const UpdateOrigin origin{change, HashOf("vm " + std::to_string(vm)), size,
                              vm == 0};
    copies += UpdateReceivers(origin, MakeLinks(vm)).size() - 2;
  }
  return copies;
}

}  // namespace

// Guards against bytes between failure domains that grow with the fleet.
Test(update_receivers, copies_to_other_domains_do_not_grow_with_the_fleet) {
  for (const std::size_t fleet : {32, 300, 7100}) {
    double copies = 0;
    constexpr int kChanges = 20;
    for (std::uint64_t change = 0; change < kChanges; ++change) {
      copies += static_cast<double>(
          CrossCopies(fleet / kDomains, RendezvousScore(kSeed, change)));
    }
    const auto mean = copies / kChanges / (kDomains - 1);
    cr_assert_geq(mean, 6, "%zu VMs: %f copies", fleet, mean);
    cr_assert_leq(mean, 11, "%zu VMs: %f copies", fleet, mean);
  }
}

// Guards against a change that leaves no failure domain because the VM that
// found it is no relay.
Test(update_receivers, first_vm_sends_to_each_domain) {
  const UpdateOrigin origin{kSeed, HashOf("vm"), 1000, true};
  cr_assert_eq(UpdateReceivers(origin, MakeLinks(0)).size(),
               2 + (kDomains - 1));
}

}  // namespace flamingoyoke
