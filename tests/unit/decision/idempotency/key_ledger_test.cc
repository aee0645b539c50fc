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

  auto Present(const IdempotencyKey& key, std::uint64_t fingerprint = 1)
      -> KeyAction {
    const auto actions = ledger.OnEvent(
        KeyPresented{RequestId(next_request++), key, fingerprint}, now);
    cr_assert_eq(actions.size(), 1U);
    return actions.front();
  }
  auto LastRequest() const -> RequestId { return RequestId(next_request - 1); }
};

auto Runs(const KeyAction& action) -> bool {
  return std::holds_alternative<RunKeyedWork>(action);
}

auto RefusedWith(const KeyAction& action, ErrorKind error) -> bool {
  const auto* refused = std::get_if<RefuseKeyedWork>(&action);
  return refused != nullptr && refused->error == error;
}

auto MakeAnswer(std::size_t body_bytes) -> std::shared_ptr<const KeptAnswer> {
  return std::make_shared<const KeptAnswer>(
      KeptAnswer{200, "OK", {}, std::string(body_bytes, 'x')});
}

// A repeat while the first request runs must not start a second execution.
Test(key_ledger, repeat_in_flight_does_not_run) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  cr_assert(Runs(f.Present(key)));
  cr_assert(RefusedWith(f.Present(key), ErrorKind::kKeyInFlight));
}

// A repeat after the answer gets that answer and no second execution.
Test(key_ledger, small_answer_is_replayed) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Present(key);
  f.ledger.OnEvent(KeyedWorkAnswered{f.LastRequest(), MakeAnswer(10)}, f.now);
  const auto repeat = f.Present(key);
  const auto* replay = std::get_if<ReplayAnswer>(&repeat);
  cr_assert_not_null(replay);
  cr_assert_eq(replay->answer->body.size(), 10U);
}

// An answer above the bound is not kept, but the fact that it ran is.
Test(key_ledger, large_answer_is_known_as_run) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Present(key);
  f.ledger.OnEvent(KeyedWorkAnswered{f.LastRequest(), MakeAnswer(17 << 10)},
                   f.now);
  cr_assert(RefusedWith(f.Present(key), ErrorKind::kKeyAnswerNotKept));
  cr_assert_eq(f.ledger.kept_bytes(), 0U);
}

// Work whose outcome is unknown is never run again, whatever the caller does.
Test(key_ledger, unknown_outcome_is_final) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Present(key);
  f.ledger.OnEvent(KeyedWorkFailed{f.LastRequest(), ErrorKind::kUpstreamReset},
                   f.now);
  cr_assert(RefusedWith(f.Present(key), ErrorKind::kUpstreamReset));
  f.now += minutes(6);
  cr_assert(RefusedWith(f.Present(key), ErrorKind::kKeyExpired));
}

// Work that was not run may be run under the same key, once.
Test(key_ledger, not_run_releases_the_key) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Present(key);
  f.ledger.OnEvent(KeyedWorkFailed{f.LastRequest(), ErrorKind::kQueueFull},
                   f.now);
  cr_assert(Runs(f.Present(key)));
  cr_assert(RefusedWith(f.Present(key), ErrorKind::kKeyInFlight));
}

// An entry in flight must outlive its key's expiry: dropping it would let a
// forged later key lifetime run the work again.
Test(key_ledger, entry_in_flight_survives_expiry) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Present(key);
  const auto first = f.LastRequest();
  f.ledger.OnEvent(KeyedWorkFailed{first, ErrorKind::kQueueFull}, f.now);
  cr_assert(Runs(f.Present(key)));
  f.now += minutes(10);
  cr_assert(RefusedWith(f.Present(key), ErrorKind::kKeyInFlight));
}

// Keys of other processes are not this ledger's to decide.
Test(key_ledger, keys_of_other_processes) {
  Fixture f;
  auto key = f.ledger.Issue(f.now, 1);
  key.vm = VmId("b");
  const auto elsewhere = f.Present(key);
  cr_assert(RefusedWith(elsewhere, ErrorKind::kKeyIssuedElsewhere));
  cr_assert_eq(std::get<RefuseKeyedWork>(elsewhere).issuer, VmId("b"));
  key.vm = VmId("a");
  // A redirect to this vm itself would loop.
  for (const std::uint64_t incarnation : {4, 6}) {
    key.incarnation = Incarnation(incarnation);
    cr_assert(RefusedWith(f.Present(key), ErrorKind::kKeyIssuerGone));
  }
}

// A key from the future was forged; accepting it would extend its lifetime.
Test(key_ledger, future_key_is_refused) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now + seconds(1), 1);
  cr_assert(RefusedWith(f.Present(key), ErrorKind::kKeyMalformed));
}

// A key that is reused for other work must not return the wrong answer.
Test(key_ledger, key_names_one_piece_of_work) {
  Fixture f;
  const auto key = f.ledger.Issue(f.now, 1);
  f.Present(key, 1);
  f.ledger.OnEvent(KeyedWorkAnswered{f.LastRequest(), MakeAnswer(10)}, f.now);
  cr_assert(RefusedWith(f.Present(key, 2), ErrorKind::kKeyMalformed));
}

// A full ledger refuses work instead of forgetting what ran.
Test(key_ledger, full_ledger_refuses_until_keys_expire) {
  Fixture f(KeyLedgerLimits{.entries = 2});
  for (std::uint64_t i = 0; i < 2; ++i) {
    cr_assert(Runs(f.Present(f.ledger.Issue(f.now, i))));
    f.ledger.OnEvent(KeyedWorkAnswered{f.LastRequest(), MakeAnswer(10)}, f.now);
  }
  cr_assert(RefusedWith(f.Present(f.ledger.Issue(f.now, 9)),
                        ErrorKind::kKeyLedgerFull));
  f.now += minutes(5);
  cr_assert(Runs(f.Present(f.ledger.Issue(f.now, 9))));
  cr_assert_eq(f.ledger.size(), 1U);
  cr_assert_eq(f.ledger.kept_bytes(), 0U);
}

// The sum of kept answers is bounded too.
Test(key_ledger, answer_budget_is_bounded) {
  Fixture f(KeyLedgerLimits{.all_answers_bytes = 1000});
  for (std::uint64_t i = 0; i < 4; ++i) {
    f.Present(f.ledger.Issue(f.now, i));
    f.ledger.OnEvent(KeyedWorkAnswered{f.LastRequest(), MakeAnswer(300)},
                     f.now);
  }
  cr_assert_leq(f.ledger.kept_bytes(), 1000U);
  cr_assert(RefusedWith(f.Present(f.ledger.Issue(f.now, 3)),
                        ErrorKind::kKeyAnswerNotKept));
}

}  // namespace
}  // namespace flamingoyoke
