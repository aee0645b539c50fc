#ifndef FLAMINGOYOKE_RUNTIME_MAILBOX_H_
#define FLAMINGOYOKE_RUNTIME_MAILBOX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <utility>
#include <variant>

#include "core/name_table.h"
#include "runtime/wake_descriptor.h"

namespace flamingoyoke {

// What happens to a message that meets a full mailbox.
enum class MailboxPolicy {
  kShed,          // The message is dropped and counted.
  kCoalesce,      // It replaces a waiting message of its type, full or not.
  kBackPressure,  // The sender is told to slow down and keeps the message.
};

template <>
struct EnumNames<MailboxPolicy> {
  static constexpr auto kTable = std::to_array<NameEntry<MailboxPolicy>>({
      {MailboxPolicy::kShed, "shed"},
      {MailboxPolicy::kCoalesce, "coalesce"},
      {MailboxPolicy::kBackPressure, "back-pressure"},
  });
};
static_assert(IsDense<MailboxPolicy>());

// What became of a message.
enum class PostResult { kAccepted, kCoalesced, kShed, kRefused };

template <>
struct EnumNames<PostResult> {
  static constexpr auto kTable = std::to_array<NameEntry<PostResult>>({
      {PostResult::kAccepted, "accepted"},
      {PostResult::kCoalesced, "coalesced"},
      {PostResult::kShed, "shed"},
      {PostResult::kRefused, "refused"},
  });
};
static_assert(IsDense<PostResult>());

// The policy of a message type; specialize it for types that are not shed.
template <typename T>
inline constexpr MailboxPolicy kMailboxPolicy = MailboxPolicy::kShed;

// Bounded queue of a task's messages, a std::variant. The only place where
// tasks share memory, and so the only one with a mutex.
template <typename Message>
class Mailbox {
 public:
  // Precondition: `capacity` is positive.
  explicit Mailbox(std::size_t capacity) : capacity_(capacity) {}

  Mailbox(const Mailbox&) = delete;
  auto operator=(const Mailbox&) -> Mailbox& = delete;

  // Hands over `message` and wakes the task. The policy of the message's type
  // decides when the mailbox is full; after kRefused, `message` is unchanged.
  // Thread-safe; never blocks for longer than a queue operation.
  auto Post(Message&& message) -> PostResult {
    const auto policy = PolicyOf(message);
    {
      const std::lock_guard lock(mutex_);
      if (policy == MailboxPolicy::kCoalesce && Replace(message)) {
        return PostResult::kCoalesced;
      }
      // Coalesced types are few, so they may exceed the bound by one each.
      if (messages_.size() >= capacity_ && policy != MailboxPolicy::kCoalesce) {
        if (policy == MailboxPolicy::kBackPressure) {
          return PostResult::kRefused;
        }
        ++shed_count_;
        return PostResult::kShed;
      }
      messages_.push_back(std::move(message));
    }
    wake_.Signal();
    return PostResult::kAccepted;
  }

  // Removes and returns all waiting messages, oldest first. Thread-safe;
  // called by the task that owns the mailbox.
  auto TakeAll() -> std::deque<Message> {
    wake_.Clear();
    std::deque<Message> taken;
    const std::lock_guard lock(mutex_);
    taken.swap(messages_);
    return taken;
  }

  // Wakes the task without a message. Thread-safe.
  auto Wake() -> void { wake_.Signal(); }

  // Descriptor that is readable while the task has something to do.
  [[nodiscard]] auto descriptor() const -> int { return wake_.descriptor(); }

  // Number of messages dropped so far. Thread-safe.
  [[nodiscard]] auto shed_count() const -> std::uint64_t {
    const std::lock_guard lock(mutex_);
    return shed_count_;
  }

 private:
  static auto PolicyOf(const Message& message) -> MailboxPolicy {
    return std::visit([]<typename T>(const T&) { return kMailboxPolicy<T>; },
                      message);
  }

  // Precondition: the lock is held.
  auto Replace(Message& message) -> bool {
    for (auto& waiting : messages_) {
      if (waiting.index() == message.index()) {
        waiting = std::move(message);
        return true;
      }
    }
    return false;
  }

  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<Message> messages_;
  std::uint64_t shed_count_ = 0;
  WakeDescriptor wake_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_MAILBOX_H_
