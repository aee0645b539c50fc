#ifndef FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_OPTIONS_H_
#define FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_OPTIONS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke::standin {

// Class of a request.
enum class WorkClass { kShort, kLong };

// A period in which the arrival rate is multiplied by `factor`.
struct Swing {
  Duration start = Duration::zero();
  Duration end = Duration::zero();
  double factor = 1;
};

struct LoadOptions {
  // VMs to query for addresses. If empty, requests go to `direct` only.
  std::vector<NamedEndpoint> entries;
  // Upstreams to call directly, bypassing the fleet, for comparison.
  std::vector<NamedEndpoint> direct;
  std::string service;
  std::string path = "/";
  std::string failure_domain;
  double rate = 100;  // Requests per second.
  Duration length = std::chrono::seconds(10);
  std::uint64_t seed = 1;
  std::vector<Swing> swings;
  // Mean service time of short work, exponentially distributed.
  double service_ms = 20;
  double long_share = 0;
  double long_factor = 20;
  std::size_t body_bytes = 0;
  std::size_t long_body_bytes = 0;
  std::size_t answer_bytes = 64;
  Duration deadline = std::chrono::seconds(1);
  // Request an idempotency key before each request.
  bool use_keys = false;
};

}  // namespace flamingoyoke::standin

namespace flamingoyoke {

template <>
struct EnumNames<standin::WorkClass> {
  static constexpr auto kTable = std::to_array<NameEntry<standin::WorkClass>>({
      {standin::WorkClass::kShort, "short"},
      {standin::WorkClass::kLong, "long"},
  });
};
static_assert(IsDense<standin::WorkClass>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_OPTIONS_H_
