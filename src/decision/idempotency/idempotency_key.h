#ifndef FLAMINGOYOKE_DECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
#define FLAMINGOYOKE_DECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

namespace flamingoyoke {

// Names one piece of unrepeatable work and the process that may run it.
struct IdempotencyKey {
  VmId vm;
  Incarnation incarnation;
  // Issue time on the boot clock of the issuer.
  std::int64_t issued_ms = 0;
  std::uint64_t random = 0;

  auto operator==(const IdempotencyKey&) const -> bool = default;

  // Returns the issue time on the issuer's clock.
  [[nodiscard]] auto issued_at() const -> TimePoint {
    return TimePoint(std::chrono::milliseconds(issued_ms));
  }
};

// Returns the text form `vm-incarnation-issue_ms-random`, where the numbers
// are decimal and `random` has 16 hexadecimal digits. Thread-safe.
auto FormatIdempotencyKey(const IdempotencyKey& key) -> std::string;

// Parses the text form. Accepts only what FormatIdempotencyKey returns, so
// that one key has one spelling. Fails with kKeyMalformed. Thread-safe.
auto ParseIdempotencyKey(std::string_view text) -> Result<IdempotencyKey>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
