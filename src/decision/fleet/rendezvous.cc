#include "decision/fleet/rendezvous.h"

#include <xxhash.h>

#include "core/random.h"

namespace flamingoyoke {

auto HashOf(std::string_view text) -> std::uint64_t {
  return XXH3_64bits(text.data(), text.size());
}

auto RendezvousScore(std::uint64_t key, std::uint64_t candidate)
    -> std::uint64_t {
  // The multiplication makes the score asymmetric in its arguments.
  return Random(key * 0x9FB21C651E98DF25ULL ^ candidate).Next();
}

}  // namespace flamingoyoke
