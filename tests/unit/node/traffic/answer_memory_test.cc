#include "node/traffic/answer_memory.h"

#include <criterion/criterion.h>

#include <memory>

namespace flamingoyoke {

// Guards against a process that runs out of memory by unparsed input: the share
// that holds most is evicted, and small ones are kept.
Test(answer_memory, evicts_the_largest_share_at_the_limit) {
  AnswerMemory memory(100);
  bool evicted_large = false;
  bool evicted_small = false;
  AnswerMemory::Share body(&memory);
  AnswerMemory::Share large(&memory, [&] { evicted_large = true; });
  AnswerMemory::Share small(&memory, [&] { evicted_small = true; });
  body.Set(30);
  large.Set(50);
  cr_assert(memory.is_short());
  cr_assert_not(memory.is_exhausted());
  small.Set(20);
  cr_assert(memory.is_exhausted());
  cr_assert(evicted_large);
  cr_assert_not(evicted_small);
  cr_assert_eq(memory.evictions(), 1U);
}

// Guards against memory that counts as used for good.
Test(answer_memory, destroyed_shares_release_their_bytes) {
  AnswerMemory memory(100);
  auto share = std::make_unique<AnswerMemory::Share>(&memory, [] {});
  share->Set(40);
  share->Set(10);
  cr_assert_eq(memory.used(), 10U);
  share.reset();
  cr_assert_eq(memory.used(), 0U);
}

}  // namespace flamingoyoke
