#include "decision/idempotency/key_ledger.h"

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <string>

namespace flamingoyoke {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

struct Fixture {
  KeyLedgerLimits limits;
  KeyLedger ledger;
  std::uint64_t next_request = 1;
  TimePoint now = kStart;

  explicit Fixture(KeyLedgerLimits l = {})
      : limits(l), ledger(VmId("a"), Incarnation(5), l) {}

  auto Submit(const IdempotencyKey& key, std::uint64_t fingerprint = 1)
      -> KeyAction {
    const auto actions = ledger.OnEvent(
        KeyedRequestReceived{RequestId(next_request++), key, fingerprint}, now);
    cr_assert_eq(actions.size(), 1U);
    return actions.front();
  }
  auto LastRequest() const -> RequestId { return RequestId(next_request - 1); }
};

auto Runs(const KeyAction& action) -> bool {
  return std::holds_alternative<RunKeyedRequest>(action);
}

auto RejectedWith(const KeyAction& action, ErrorKind error) -> bool {
  const auto* rejected = std::get_if<RejectKeyedRequest>(&action);
  return rejected != nullptr && rejected->error == error;
}

auto MakeResponse(std::size_t body_bytes)
    -> std::shared_ptr<const StoredResponse> {
  return std::make_shared<const StoredResponse>(
      StoredResponse{200, "OK", {}, std::string(body_bytes, 'x')});
}

// Guards against a second execution when a request is repeated while the first
// one is in flight.
Test(key_ledger, repeat_in_flight_is_rejected) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  cr_assert(Runs(f.Submit(key)));
  cr_assert(RejectedWith(f.Submit(key), ErrorKind::kKeyInFlight));
}

// Guards against a second execution when a request is repeated after its
// response: the stored response is replayed.
Test(key_ledger, small_response_is_replayed) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeResponse(10)},
                   f.now);
  const auto repeat = f.Submit(key);
  const auto* replay = std::get_if<ReplayResponse>(&repeat);
  cr_assert_not_null(replay);
  cr_assert_eq(replay->response->body.size(), 10U);
}

// Guards against a second execution when the response is too large to be
// stored: the key stays known as executed.
Test(key_ledger, large_response_is_not_replayed) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  f.ledger.OnEvent(
      KeyedRequestAnswered{f.LastRequest(), MakeResponse(17 << 10)}, f.now);
  cr_assert(RejectedWith(f.Submit(key), ErrorKind::kKeyAnswerNotKept));
  cr_assert_eq(f.ledger.stored_bytes(), 0U);
}

// Guards against a second execution after an unknown outcome.
Test(key_ledger, unknown_outcome_is_final) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  f.ledger.OnEvent(
      KeyedRequestFailed{f.LastRequest(), ErrorKind::kUpstreamReset}, f.now);
  cr_assert(RejectedWith(f.Submit(key), ErrorKind::kUpstreamReset));
  f.now += minutes(6);
  cr_assert(RejectedWith(f.Submit(key), ErrorKind::kKeyExpired));
}

// Guards against a key that stays locked after a request that was not executed;
// the repeat is then executed once.
Test(key_ledger, not_run_releases_the_key) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  f.ledger.OnEvent(KeyedRequestFailed{f.LastRequest(), ErrorKind::kQueueFull},
                   f.now);
  cr_assert(Runs(f.Submit(key)));
  cr_assert(RejectedWith(f.Submit(key), ErrorKind::kKeyInFlight));
}

// Guards against removing an expired entry while its request is in flight,
// which would allow a second execution under a forged key with a later expiry.
Test(key_ledger, entry_in_flight_survives_expiry) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  const auto first = f.LastRequest();
  f.ledger.OnEvent(KeyedRequestFailed{first, ErrorKind::kQueueFull}, f.now);
  cr_assert(Runs(f.Submit(key)));
  f.now += minutes(10);
  cr_assert(RejectedWith(f.Submit(key), ErrorKind::kKeyInFlight));
}

// Guards against executing a request whose key was issued by another process.
Test(key_ledger, keys_of_other_processes) {
  Fixture f;
  auto key = f.ledger.Issue(f.now, 1);
  key.vm = VmId("b");
  const auto elsewhere = f.Submit(key);
  cr_assert(RejectedWith(elsewhere, ErrorKind::kKeyIssuedElsewhere));
  cr_assert_eq(std::get<RejectKeyedRequest>(elsewhere).issuer, VmId("b"));
  key.vm = VmId("a");
  // A redirect to this VM itself would loop.
  for (const std::uint64_t incarnation : {4, 6}) {
    key.incarnation = Incarnation(incarnation);
    cr_assert(RejectedWith(f.Submit(key), ErrorKind::kKeyIssuerGone));
  }
}

// Guards against forged keys with a future time of issue, which would extend
// their lifetime.
Test(key_ledger, future_key_is_rejected) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now + seconds(1), 1);
  cr_assert(RejectedWith(f.Submit(key), ErrorKind::kKeyMalformed));
}

// Guards against replaying a response to a different request that reuses the
// key.
Test(key_ledger, key_reuse_for_another_request_is_rejected) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key, 1);
  f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeResponse(10)},
                   f.now);
  cr_assert(RejectedWith(f.Submit(key, 2), ErrorKind::kKeyMalformed));
}

// Guards against a full ledger that evicts entries of executed requests instead
// of rejecting new ones.
Test(key_ledger, full_ledger_rejects_until_keys_expire) {
  Fixture f(KeyLedgerLimits{.max_entries = 2});
  for (std::uint64_t i = 0; i < 2; ++i) {
    cr_assert(Runs(f.Submit(f.ledger.Issue(f.now, i))));
    f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeResponse(10)},
                     f.now);
  }
  cr_assert(RejectedWith(f.Submit(f.ledger.Issue(f.now, 9)),
                         ErrorKind::kKeyLedgerFull));
  f.now += minutes(5);
  cr_assert(Runs(f.Submit(f.ledger.Issue(f.now, 9))));
  cr_assert_eq(f.ledger.size(), 1U);
  cr_assert_eq(f.ledger.stored_bytes(), 0U);
}

// Guards against stored responses whose total size exceeds the bound.
Test(key_ledger, stored_responses_are_bounded) {
  Fixture f(KeyLedgerLimits{.max_total_response_bytes = 1000});
  for (std::uint64_t i = 0; i < 4; ++i) {
    f.Submit(f.ledger.Issue(f.now, i));
    f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeResponse(300)},
                     f.now);
  }
  cr_assert_leq(f.ledger.stored_bytes(), 1000U);
  cr_assert(RejectedWith(f.Submit(f.ledger.Issue(f.now, 3)),
                         ErrorKind::kKeyAnswerNotKept));
}

}  // namespace
}  // namespace flamingoyoke
