#ifndef FLAMINGOYOKE_DECISION_IDEMPOTENCY_KEY_LEDGER_H_
#define FLAMINGOYOKE_DECISION_IDEMPOTENCY_KEY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/time.h"
#include "decision/idempotency/idempotency_key.h"
#include "decision/idempotency/key_event.h"

namespace flamingoyoke {

struct KeyLedgerLimits {
  std::size_t max_entries = 65536;
  Duration key_lifetime = std::chrono::minutes(5);
  std::size_t max_response_bytes = 16 << 10;
  // Bound on the total size of all stored responses.
  std::size_t max_total_response_bytes = 8 << 20;
};

// Deduplicates requests by idempotency key: decides which may be executed and
// which get the stored response of an earlier one. Holds only the keys issued
// by its own process and is the sole authority for them while the process
// lives. Not thread-safe.
class KeyLedger {
 public:
  KeyLedger(VmId vm, Incarnation incarnation, KeyLedgerLimits limits);

  // Returns a new key of this process. `random` distinguishes keys issued in
  // the same millisecond. Nothing is stored until a request with the key
  // arrives.
  [[nodiscard]] auto Issue(TimePoint now, std::uint64_t random) const
      -> IdempotencyKey;

  // Handles an event. Returns one action for KeyedRequestReceived and none for
  // the others. `now` must not decrease.
  auto OnEvent(const KeyEvent& event, TimePoint now) -> std::vector<KeyAction>;

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
  [[nodiscard]] auto stored_bytes() const -> std::size_t {
    return stored_bytes_;
  }

 private:
  struct InFlight {
    RequestId request;
  };
  struct Answered {
    std::shared_ptr<const StoredResponse> response;
  };
  struct ResponseNotStored {};
  struct UnknownOutcome {
    ErrorKind error = ErrorKind::kInternal;
  };
  using State =
      std::variant<InFlight, Answered, ResponseNotStored, UnknownOutcome>;
  struct Entry {
    std::uint64_t fingerprint = 0;
    TimePoint expires;
    State state;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  auto OnReceived(const KeyedRequestReceived& event, TimePoint now)
      -> KeyAction;
  auto OnRepeatedKey(const KeyedRequestReceived& event,
                     const Entry& entry) const -> KeyAction;
  auto OnAnswered(const KeyedRequestAnswered& event) -> void;
  auto OnFailed(const KeyedRequestFailed& event) -> void;
  // Removes the request from `in_flight_` and returns its entry, or
  // entries_.end() if the request has no key.
  auto RemoveInFlight(RequestId request) -> Entries::iterator;
  // Sets the final state of an entry, which is removed when its key expires.
  auto SetFinalState(Entries::iterator entry, State state) -> void;
  auto RemoveExpired(TimePoint now) -> void;

  const VmId vm_;
  const Incarnation incarnation_;
  const KeyLedgerLimits limits_;
  Entries entries_;
  std::unordered_map<RequestId, std::string> in_flight_;
  struct ExpiryEntry {
    TimePoint at;
    std::string key;
  };
  struct ExpiresLater {
    auto operator()(const ExpiryEntry& a, const ExpiryEntry& b) const -> bool {
      return a.at > b.at;
    }
  };
  // Min-heap of the finished entries by expiry time.
  std::vector<ExpiryEntry> expiry_heap_;
  std::size_t stored_bytes_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_IDEMPOTENCY_KEY_LEDGER_H_
