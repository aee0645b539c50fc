#include <criterion/criterion.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "integration/soak/soak.h"
#include "support/environment.h"

namespace flamingoyoke {
namespace integration {
namespace {

// FLAMINGOYOKE_SOAK_SEEDS, _SEED and _GATEWAYS set the number of seeds, the
// first seed and the size of the fleet of longer runs; _SETTINGS names another
// settings file, _LIMIT the system limit of all seeds.
constexpr std::uint64_t kSeeds = 2;
constexpr std::uint64_t kFirstSeed = 1;
constexpr const char* kSettings =
    FLAMINGOYOKE_SOURCE_DIR "/tests/integration/soak/small.json";

}  // namespace

TestSuite(soak, .fini = &ChildProcess::KillAll, .timeout = 7200);

// Guards against broken promises to callers and operators when signals,
// restarts, pauses, faulty targets and failures of the store overlap.
Test(soak, keeps_its_promises_under_random_faults) {
  const auto first = FromEnvironment("FLAMINGOYOKE_SOAK_SEED", kFirstSeed);
  const auto seeds = FromEnvironment("FLAMINGOYOKE_SOAK_SEEDS", kSeeds);
  const char* path = std::getenv("FLAMINGOYOKE_SOAK_SETTINGS");
  auto settings = ReadSoakSettings(path == nullptr ? kSettings : path);
  settings.gateways =
      FromEnvironment("FLAMINGOYOKE_SOAK_GATEWAYS", settings.gateways);
  if (const char* limit = std::getenv("FLAMINGOYOKE_SOAK_LIMIT")) {
    settings.limits = {ReadLimit(limit)};
  }
  std::string all;
  for (auto seed = first; seed < first + seeds; ++seed) {
    for (const auto& broken : Soak(seed, settings).Run()) {
      all += broken + "\n";
    }
  }
  cr_assert(all.empty(), "%s", all.c_str());
}

}  // namespace integration
}  // namespace flamingoyoke
