#include "node/traffic/connection_part.h"

#include <criterion/criterion.h>

#include <vector>

namespace flamingoyoke {

// Guards against connections beyond the part, and against idle connections of
// one service that keep those of another from being opened.
Test(connection_part, idle_connections_make_room) {
  ConnectionPart part(Part::kTraffic, DescriptorUse::kTargets, 2);
  std::vector<ConnectionPart::Share> shares;
  shares.emplace_back(part);
  cr_expect(part.MakeRoom());
  shares.emplace_back(part);
  cr_expect_not(part.MakeRoom());
  int idle = 1;
  {
    const ConnectionPart::Registration busy(part, [] { return false; });
    const ConnectionPart::Registration pool(part, [&] { return idle-- > 0; });
    cr_expect(part.MakeRoom());
    cr_expect_not(part.MakeRoom());
  }
  shares.pop_back();
  cr_expect_eq(part.used(), 1);
  cr_expect(part.MakeRoom());
  part.set_limit(1);
  cr_expect_not(part.MakeRoom());
}

// Guards against replacing so many connections in one turn of the event loop,
// in which none is closed, that the reserve is used up.
Test(connection_part, few_connections_are_replaced_at_a_time) {
  constexpr std::size_t kLimit = 4;
  constexpr std::size_t kMostReplaced = 16;
  ConnectionPart part(Part::kTraffic, DescriptorUse::kTargets, kLimit);
  const ConnectionPart::Registration pool(part, [] { return true; });
  std::vector<ConnectionPart::Share> shares;
  while (part.used() < 100 && part.MakeRoom()) {
    shares.emplace_back(part);
  }
  cr_expect_eq(part.used(), kLimit + kMostReplaced);
}

}  // namespace flamingoyoke
