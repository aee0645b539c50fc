#ifndef FLAMINGOYOKE_DECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
#define FLAMINGOYOKE_DECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

namespace flamingoyoke {

// Identifies one non-repeatable request and the process that may execute it.
struct IdempotencyKey {
  VmId vm;
  Incarnation incarnation;
  // Time of issue on the boot clock of the issuer.
  std::int64_t issued_ms = 0;
  std::uint64_t random = 0;

  auto operator==(const IdempotencyKey&) const -> bool = default;

  // Returns the time of issue on the issuer's clock.
  [[nodiscard]] auto issued_at() const -> TimePoint {
    return TimePoint(std::chrono::milliseconds(issued_ms));
  }
};

// Returns the text form `vm-incarnation-issued_ms-random`, where the numbers
// are decimal and `random` has 16 hexadecimal digits. Thread-safe.
auto FormatIdempotencyKey(const IdempotencyKey& key) -> std::string;

// Parses the text form. Accepts only the canonical form that
// FormatIdempotencyKey returns, because two spellings of one key would be
// stored as two entries. Fails with kKeyMalformed. Thread-safe.
auto ParseIdempotencyKey(std::string_view text) -> Result<IdempotencyKey>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
