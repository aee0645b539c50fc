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

auto RefusedWith(const KeyAction& action, ErrorKind error) -> bool {
  const auto* refused = std::get_if<RejectKeyedRequest>(&action);
  return refused != nullptr && refused->error == error;
}

auto MakeAnswer(std::size_t body_bytes)
    -> std::shared_ptr<const StoredResponse> {
  return std::make_shared<const StoredResponse>(
      StoredResponse{200, "OK", {}, std::string(body_bytes, 'x')});
}

// A repeat while the first request runs must not start a second execution.
Test(key_ledger, repeat_in_flight_does_not_run) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  cr_assert(Runs(f.Submit(key)));
  cr_assert(RefusedWith(f.Submit(key), ErrorKind::kKeyInFlight));
}

// A repeat after the answer gets that answer and no second execution.
Test(key_ledger, small_answer_is_replayed) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeAnswer(10)},
                   f.now);
  const auto repeat = f.Submit(key);
  const auto* replay = std::get_if<ReplayResponse>(&repeat);
  cr_assert_not_null(replay);
  cr_assert_eq(replay->response->body.size(), 10U);
}

// An answer above the bound is not kept, but the fact that it ran is.
Test(key_ledger, large_answer_is_known_as_run) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeAnswer(17 << 10)},
                   f.now);
  cr_assert(RefusedWith(f.Submit(key), ErrorKind::kKeyAnswerNotKept));
  cr_assert_eq(f.ledger.stored_bytes(), 0U);
}

// Work whose outcome is unknown is never run again, whatever the caller does.
Test(key_ledger, unknown_outcome_is_final) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  f.ledger.OnEvent(
      KeyedRequestFailed{f.LastRequest(), ErrorKind::kUpstreamReset}, f.now);
  cr_assert(RefusedWith(f.Submit(key), ErrorKind::kUpstreamReset));
  f.now += minutes(6);
  cr_assert(RefusedWith(f.Submit(key), ErrorKind::kKeyExpired));
}

// Work that was not run may be run under the same key, once.
Test(key_ledger, not_run_releases_the_key) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  f.ledger.OnEvent(KeyedRequestFailed{f.LastRequest(), ErrorKind::kQueueFull},
                   f.now);
  cr_assert(Runs(f.Submit(key)));
  cr_assert(RefusedWith(f.Submit(key), ErrorKind::kKeyInFlight));
}

// An entry in flight must outlive its key's expiry: dropping it would let a
// forged later key lifetime run the work again.
Test(key_ledger, entry_in_flight_survives_expiry) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key);
  const auto first = f.LastRequest();
  f.ledger.OnEvent(KeyedRequestFailed{first, ErrorKind::kQueueFull}, f.now);
  cr_assert(Runs(f.Submit(key)));
  f.now += minutes(10);
  cr_assert(RefusedWith(f.Submit(key), ErrorKind::kKeyInFlight));
}

// Keys of other processes are not this ledger's to decide.
Test(key_ledger, keys_of_other_processes) {
  Fixture f;
  auto key = f.ledger.Issue(f.now, 1);
  key.vm = VmId("b");
  const auto elsewhere = f.Submit(key);
  cr_assert(RefusedWith(elsewhere, ErrorKind::kKeyIssuedElsewhere));
  cr_assert_eq(std::get<RejectKeyedRequest>(elsewhere).issuer, VmId("b"));
  key.vm = VmId("a");
  // A redirect to this vm itself would loop.
  for (const std::uint64_t incarnation : {4, 6}) {
    key.incarnation = Incarnation(incarnation);
    cr_assert(RefusedWith(f.Submit(key), ErrorKind::kKeyIssuerGone));
  }
}

// A key from the future was forged; accepting it would extend its lifetime.
Test(key_ledger, future_key_is_refused) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now + seconds(1), 1);
  cr_assert(RefusedWith(f.Submit(key), ErrorKind::kKeyMalformed));
}

// A key that is reused for other work must not return the wrong answer.
Test(key_ledger, key_names_one_piece_of_work) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Submit(key, 1);
  f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeAnswer(10)},
                   f.now);
  cr_assert(RefusedWith(f.Submit(key, 2), ErrorKind::kKeyMalformed));
}

// A full ledger refuses work instead of forgetting what ran.
Test(key_ledger, full_ledger_refuses_until_keys_expire) {
  Fixture f(KeyLedgerLimits{.max_entries = 2});
  for (std::uint64_t i = 0; i < 2; ++i) {
    cr_assert(Runs(f.Submit(f.ledger.Issue(f.now, i))));
    f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeAnswer(10)},
                     f.now);
  }
  cr_assert(RefusedWith(f.Submit(f.ledger.Issue(f.now, 9)),
                        ErrorKind::kKeyLedgerFull));
  f.now += minutes(5);
  cr_assert(Runs(f.Submit(f.ledger.Issue(f.now, 9))));
  cr_assert_eq(f.ledger.size(), 1U);
  cr_assert_eq(f.ledger.stored_bytes(), 0U);
}

// The sum of kept answers is bounded too.
Test(key_ledger, answer_budget_is_bounded) {
  Fixture f(KeyLedgerLimits{.max_total_response_bytes = 1000});
  for (std::uint64_t i = 0; i < 4; ++i) {
    f.Submit(f.ledger.Issue(f.now, i));
    f.ledger.OnEvent(KeyedRequestAnswered{f.LastRequest(), MakeAnswer(300)},
                     f.now);
  }
  cr_assert_leq(f.ledger.stored_bytes(), 1000U);
  cr_assert(RefusedWith(f.Submit(f.ledger.Issue(f.now, 3)),
                        ErrorKind::kKeyAnswerNotKept));
}

}  // namespace
}  // namespace flamingoyoke
