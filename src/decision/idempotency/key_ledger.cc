#include "decision/idempotency/key_ledger.h"

#include <algorithm>
#include <utility>

#include "core/answer_table.h"
#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

auto SizeOf(const StoredResponse& response) -> std::size_t {
  auto size =
      sizeof(StoredResponse) + response.reason.size() + response.body.size();
  for (const auto& [name, value] : response.headers) {
    size += name.size() + value.size();
  }
  return size;
}

auto Reject(const KeyedRequestReceived& event, ErrorKind error) -> KeyAction {
  return RejectKeyedRequest{event.request, error, {}, {}};
}

}  // namespace

KeyLedger::KeyLedger(VmId vm, Incarnation incarnation, KeyLedgerLimits limits)
    : vm_(std::move(vm)), incarnation_(incarnation), limits_(limits) {}

auto KeyLedger::Issue(TimePoint now, std::uint64_t random) const
    -> IdempotencyKey {
  return IdempotencyKey{
      .vm = vm_,
      .incarnation = incarnation_,
      .issued_ms = ToMilliseconds(now.time_since_epoch()),
      .random = random,
  };
}

auto KeyLedger::OnEvent(const KeyEvent& event, TimePoint now)
    -> std::vector<KeyAction> {
  std::vector<KeyAction> actions;
  std::visit(Overloaded{
                 [&](const KeyedRequestReceived& presented) {
                   actions.push_back(OnReceived(presented, now));
                 },
                 [&](const KeyedRequestAnswered& done) { OnAnswered(done); },
                 [&](const KeyedRequestFailed& failed) { OnFailed(failed); },
             },
             event);
  return actions;
}

auto KeyLedger::OnReceived(const KeyedRequestReceived& event, TimePoint now)
    -> KeyAction {
  const auto& key = event.key;
  if (key.vm != vm_) {
    return RejectKeyedRequest{event.request, ErrorKind::kKeyIssuedElsewhere,
                              key.vm, key.incarnation};
  }
  if (key.incarnation != incarnation_) {
    return Reject(event, ErrorKind::kKeyIssuerGone);
  }
  if (key.issued_at() > now) {
    return Reject(event, ErrorKind::kKeyMalformed);
  }
  RemoveExpired(now);
  auto text = FormatIdempotencyKey(key);
  const auto known = entries_.find(text);
  if (known != entries_.end()) {
    return OnRepeatedKey(event, known->second);
  }
  const auto expires = key.issued_at() + limits_.key_lifetime;
  if (expires <= now) {
    return Reject(event, ErrorKind::kKeyExpired);
  }
  if (entries_.size() >= limits_.max_entries) {
    return Reject(event, ErrorKind::kKeyLedgerFull);
  }
  in_flight_.emplace(event.request, text);
  entries_.emplace(std::move(text),
                   Entry{event.fingerprint, expires, InFlight{event.request}});
  return RunKeyedRequest{event.request};
}

auto KeyLedger::OnRepeatedKey(const KeyedRequestReceived& event,
                              const Entry& entry) const -> KeyAction {
  if (entry.fingerprint != event.fingerprint) {
    return Reject(event, ErrorKind::kKeyMalformed);
  }
  return std::visit(
      Overloaded{
          [&](const InFlight&) {
            return Reject(event, ErrorKind::kKeyInFlight);
          },
          [&](const Answered& answered) -> KeyAction {
            return ReplayResponse{event.request, answered.response};
          },
          [&](const ResponseNotStored&) {
            return Reject(event, ErrorKind::kKeyAnswerNotKept);
          },
          [&](const UnknownOutcome& unknown) {
            return Reject(event, unknown.error);
          },
      },
      entry.state);
}

auto KeyLedger::OnAnswered(const KeyedRequestAnswered& event) -> void {
  const auto entry = RemoveInFlight(event.request);
  if (entry == entries_.end()) {
    return;
  }
  const auto size = event.response ? SizeOf(*event.response) : 0;
  if (!event.response || size > limits_.max_response_bytes ||
      stored_bytes_ + size > limits_.max_total_response_bytes) {
    SetFinalState(entry, ResponseNotStored{});
    return;
  }
  stored_bytes_ += size;
  SetFinalState(entry, Answered{event.response});
}

auto KeyLedger::OnFailed(const KeyedRequestFailed& event) -> void {
  const auto entry = RemoveInFlight(event.request);
  if (entry == entries_.end()) {
    return;
  }
  if (AnswerFor(event.error).outcome == Outcome::kNotRun) {
    // The request was not executed, so the caller may use the key again.
    entries_.erase(entry);
    return;
  }
  SetFinalState(entry, UnknownOutcome{event.error});
}

auto KeyLedger::RemoveInFlight(RequestId request) -> Entries::iterator {
  const auto found = in_flight_.find(request);
  if (found == in_flight_.end()) {
    return entries_.end();
  }
  const auto entry = entries_.find(found->second);
  in_flight_.erase(found);
  return entry;
}

auto KeyLedger::SetFinalState(Entries::iterator entry, State state) -> void {
  entry->second.state = std::move(state);
  expiry_heap_.push_back({entry->second.expires, entry->first});
  std::push_heap(expiry_heap_.begin(), expiry_heap_.end(), ExpiresLater());
}

auto KeyLedger::RemoveExpired(TimePoint now) -> void {
  while (!expiry_heap_.empty() && expiry_heap_.front().at <= now) {
    std::pop_heap(expiry_heap_.begin(), expiry_heap_.end(), ExpiresLater());
    const auto entry = entries_.find(expiry_heap_.back().key);
    expiry_heap_.pop_back();
    if (const auto* answered = std::get_if<Answered>(&entry->second.state)) {
      stored_bytes_ -= SizeOf(*answered->response);
    }
    entries_.erase(entry);
  }
}

}  // namespace flamingoyoke
