#include "decision/idempotency/idempotency_key.h"

#include <criterion/criterion.h>

#include <optional>

namespace flamingoyoke {
namespace {

auto Parse(std::string_view text) -> std::optional<IdempotencyKey> {
  std::optional<IdempotencyKey> key;
  (void)CaptureInto(key, [&] { return ParseIdempotencyKey(text); });
  return key;
}

// Guards against a VM name with dashes that shifts the fields of the key.
Test(idempotency_key, round_trip_with_dashes_in_the_vm_name) {
  const IdempotencyKey key{VmId("vm-a-7"), Incarnation(12), 34567, 0xABCDEF};
  const auto text = FormatIdempotencyKey(key);
  cr_assert_eq(text, std::string("vm-a-7-12-34567-0000000000abcdef"));
  cr_assert(Parse(text) == key);
}

// Guards against non-canonical spellings of a key: they would be stored as
// separate entries, and the request would be executed twice.
Test(idempotency_key, non_canonical_spellings_are_rejected) {
  for (const auto* text : {"", "-", "a-1-2", "a-1-2-3", "-1-2-0000000000000003",
                           "a-01-2-0000000000000003", "a-1-02-0000000000000003",
                           "a-1-2-000000000000000A", "a-1-+2-0000000000000003",
                           "a-1--2-0000000000000003", "a-1-2-00000000000000003",
                           "a-1-2-0000000000000003 ",
                           "a-99999999999999999999-2-0000000000000003"}) {
    cr_assert_not(Parse(text).has_value(), "accepted '%s'", text);
  }
  cr_assert_not(Parse(std::string(300, 'a') + "-1-2-0000000000000003"));
}

}  // namespace
}  // namespace flamingoyoke
