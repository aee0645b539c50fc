#ifndef FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_BEHAVIOUR_H_
#define FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_BEHAVIOUR_H_

#include <array>
#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "core/name_table.h"
#include "core/result.h"
#include "core/time.h"

namespace flamingoyoke::standin {

// How a gray upstream fails a request. The work is executed in all cases.
enum class GrayKind {
  kError,  // Answers 500.
  kHang,   // Never answers.
  kReset,  // Closes the connection instead of answering.
  kSlow,   // Takes ten times as long.
};

// Answer of the health endpoint.
enum class HealthAnswer {
  kTruthful,
  kAlwaysUp,
  kAlwaysDown,
};

// Behaviour of an upstream stand-in. `PUT /control/behaviour` changes it at run
// time; the body is a JSON object with the fields to change.
struct UpstreamBehaviour {
  std::size_t slots = 2;
  std::size_t queue_limit = 1000;
  // Service time of a request without a `service_ms` parameter.
  Duration service_time = std::chrono::milliseconds(20);
  // Duration of the cold start, during which requests take five times as long.
  // It begins at the start of the process and whenever the field is set.
  Duration cold_start = Duration::zero();
  bool drain = false;
  // Rejects all requests for work as not run.
  bool shed = false;
  double gray_share = 0;
  GrayKind gray_kind = GrayKind::kError;
  HealthAnswer health = HealthAnswer::kTruthful;
  // Load to report instead of the measured one.
  std::optional<double> reported_load;
};

// Applies the fields of a JSON object to `behaviour`. Fails with
// kSettingsInvalid and changes nothing if a field is unknown or has a wrong
// type.
auto ApplyBehaviour(const nlohmann::json& fields, UpstreamBehaviour& behaviour)
    -> Result<void>;

}  // namespace flamingoyoke::standin

namespace flamingoyoke {

template <>
struct EnumNames<standin::GrayKind> {
  static constexpr auto kTable = std::to_array<NameEntry<standin::GrayKind>>({
      {standin::GrayKind::kError, "error"},
      {standin::GrayKind::kHang, "hang"},
      {standin::GrayKind::kReset, "reset"},
      {standin::GrayKind::kSlow, "slow"},
  });
};
static_assert(IsDense<standin::GrayKind>());

template <>
struct EnumNames<standin::HealthAnswer> {
  static constexpr auto kTable =
      std::to_array<NameEntry<standin::HealthAnswer>>({
          {standin::HealthAnswer::kTruthful, "truthful"},
          {standin::HealthAnswer::kAlwaysUp, "up"},
          {standin::HealthAnswer::kAlwaysDown, "down"},
      });
};
static_assert(IsDense<standin::HealthAnswer>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_BEHAVIOUR_H_
