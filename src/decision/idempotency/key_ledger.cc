#include "decision/idempotency/key_ledger.h"

#include <algorithm>
#include <utility>

#include "core/answer_table.h"
#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

auto SizeOf(const KeptAnswer& answer) -> std::size_t {
  auto size = sizeof(KeptAnswer) + answer.reason.size() + answer.body.size();
  for (const auto& [name, value] : answer.headers) {
    size += name.size() + value.size();
  }
  return size;
}

auto Refuse(const KeyPresented& event, ErrorKind error) -> KeyAction {
  return RefuseKeyedWork{event.request, error, {}, {}};
}

}  // namespace

KeyLedger::KeyLedger(VmId vm, Incarnation incarnation, KeyLedgerLimits limits)
    : vm_(std::move(vm)), incarnation_(incarnation), limits_(limits) {}

auto KeyLedger::Issue(TimePoint now, std::uint64_t random) const
    -> IdempotencyKey {
  return IdempotencyKey{
      .vm = vm_,
      .incarnation = incarnation_,
      .issue_ms = ToMilliseconds(now.time_since_epoch()),
      .random = random,
  };
}

auto KeyLedger::OnEvent(const KeyEvent& event, TimePoint now)
    -> std::vector<KeyAction> {
  std::vector<KeyAction> actions;
  std::visit(Overloaded{
                 [&](const KeyPresented& presented) {
                   actions.push_back(OnPresented(presented, now));
                 },
                 [&](const KeyedWorkAnswered& done) { OnAnswered(done); },
                 [&](const KeyedWorkFailed& failed) { OnFailed(failed); },
             },
             event);
  return actions;
}

auto KeyLedger::OnPresented(const KeyPresented& event, TimePoint now)
    -> KeyAction {
  const auto& key = event.key;
  if (key.vm != vm_) {
    return RefuseKeyedWork{event.request, ErrorKind::kKeyIssuedElsewhere,
                           key.vm, key.incarnation};
  }
  if (key.incarnation != incarnation_) {
    return Refuse(event, ErrorKind::kKeyIssuerGone);
  }
  if (key.issued_at() > now) {
    return Refuse(event, ErrorKind::kKeyMalformed);
  }
  DropExpired(now);
  auto text = FormatIdempotencyKey(key);
  const auto known = entries_.find(text);
  if (known != entries_.end()) {
    return OnKnownKey(event, known->second);
  }
  const auto expires = key.issued_at() + limits_.key_lifetime;
  if (expires <= now) {
    return Refuse(event, ErrorKind::kKeyExpired);
  }
  if (entries_.size() >= limits_.entries) {
    return Refuse(event, ErrorKind::kKeyLedgerFull);
  }
  in_flight_.emplace(event.request, text);
  entries_.emplace(std::move(text),
                   Entry{event.fingerprint, expires, InFlight{event.request}});
  return RunKeyedWork{event.request};
}

auto KeyLedger::OnKnownKey(const KeyPresented& event, const Entry& entry) const
    -> KeyAction {
  if (entry.fingerprint != event.fingerprint) {
    return Refuse(event, ErrorKind::kKeyMalformed);
  }
  return std::visit(
      Overloaded{
          [&](const InFlight&) {
            return Refuse(event, ErrorKind::kKeyInFlight);
          },
          [&](const Answered& answered) -> KeyAction {
            return ReplayAnswer{event.request, answered.answer};
          },
          [&](const AnsweredNotKept&) {
            return Refuse(event, ErrorKind::kKeyAnswerNotKept);
          },
          [&](const Unknown& unknown) { return Refuse(event, unknown.error); },
      },
      entry.state);
}

auto KeyLedger::OnAnswered(const KeyedWorkAnswered& event) -> void {
  const auto entry = TakeInFlight(event.request);
  if (entry == entries_.end()) {
    return;
  }
  const auto size = event.answer ? SizeOf(*event.answer) : 0;
  if (!event.answer || size > limits_.answer_bytes ||
      kept_bytes_ + size > limits_.all_answers_bytes) {
    Keep(entry, AnsweredNotKept{});
    return;
  }
  kept_bytes_ += size;
  Keep(entry, Answered{event.answer});
}

auto KeyLedger::OnFailed(const KeyedWorkFailed& event) -> void {
  const auto entry = TakeInFlight(event.request);
  if (entry == entries_.end()) {
    return;
  }
  if (AnswerFor(event.error).outcome == Outcome::kNotRun) {
    // The caller may use the key again, as nothing ran.
    entries_.erase(entry);
    return;
  }
  Keep(entry, Unknown{event.error});
}

auto KeyLedger::TakeInFlight(RequestId request) -> Entries::iterator {
  const auto found = in_flight_.find(request);
  if (found == in_flight_.end()) {
    return entries_.end();
  }
  const auto entry = entries_.find(found->second);
  in_flight_.erase(found);
  return entry;
}

auto KeyLedger::Keep(Entries::iterator entry, State state) -> void {
  entry->second.state = std::move(state);
  expiries_.push_back({entry->second.expires, entry->first});
  std::push_heap(expiries_.begin(), expiries_.end(), LaterExpiry());
}

auto KeyLedger::DropExpired(TimePoint now) -> void {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    std::pop_heap(expiries_.begin(), expiries_.end(), LaterExpiry());
    const auto entry = entries_.find(expiries_.back().key);
    expiries_.pop_back();
    if (const auto* answered = std::get_if<Answered>(&entry->second.state)) {
      kept_bytes_ -= SizeOf(*answered->answer);
    }
    entries_.erase(entry);
  }
}

}  // namespace flamingoyoke
