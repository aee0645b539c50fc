#ifndef FLAMINGOYOKE_RUNTIME_MAILBOX_H_
#define FLAMINGOYOKE_RUNTIME_MAILBOX_H_

#include <algorithm>
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

// How a mailbox treats a message that is posted while it is full.
enum class MailboxPolicy {
  kShed,          // The message is dropped and counted.
  kCoalesce,      // It replaces a queued message of its type, full or not.
  kBackPressure,  // Post returns kRefused; the sender keeps the message.
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

// The result of posting a message.
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

// The policy of a message type. Specialize it for types other than kShed.
template <typename T>
inline constexpr MailboxPolicy kMailboxPolicy = MailboxPolicy::kShed;

// Bounded message queue of a task; `Message` is a std::variant. Tasks share no
// other memory, so this is the only mutex between them.
template <typename Message>
class Mailbox {
 public:
  // Precondition: `capacity` is positive.
  explicit Mailbox(std::size_t capacity) : capacity_(capacity) {}

  Mailbox(const Mailbox&) = delete;
  auto operator=(const Mailbox&) -> Mailbox& = delete;

  // Queues `message` and wakes the task. If the mailbox is full, the policy of
  // the message type applies; after kRefused, `message` is unchanged.
  // Thread-safe; blocks at most for the duration of a queue operation.
  auto Post(Message&& message) -> PostResult {
    const auto policy = PolicyOf(message);
    {
      const std::lock_guard lock(mutex_);
      if (policy == MailboxPolicy::kCoalesce && ReplaceQueued(message)) {
        return PostResult::kCoalesced;
      }
      // Each coalesced type may exceed the bound by one; such types are few.
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

  // Removes and returns all queued messages, oldest first. Thread-safe;
  // called by the task that owns the mailbox.
  auto TakeAll() -> std::deque<Message> {
    wake_.Clear();
    std::deque<Message> taken;
    const std::lock_guard lock(mutex_);
    taken.swap(messages_);
    return taken;
  }

  // Queues `messages`, which TakeAll returned, again before all others, even
  // beyond the capacity. Thread-safe; called by the task that owns the mailbox.
  auto PutBack(std::deque<Message>&& messages) -> void {
    const std::lock_guard lock(mutex_);
    for (; !messages.empty(); messages.pop_back()) {
      messages_.push_front(std::move(messages.back()));
    }
  }

  // Wakes the task without posting a message. Thread-safe.
  auto Wake() -> void { wake_.Signal(); }

  // Descriptor that is readable while messages or a wake-up are pending.
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

  // Precondition: `mutex_` is held.
  auto ReplaceQueued(Message& message) -> bool {
    // From the back: PutBack may have left an older message of the type.
    const auto queued = std::find_if(
        messages_.rbegin(), messages_.rend(),
        [&](const Message& each) { return each.index() == message.index(); });
    if (queued == messages_.rend()) {
      return false;
    }
    *queued = std::move(message);
    return true;
  }

  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<Message> messages_;
  std::uint64_t shed_count_ = 0;
  WakeDescriptor wake_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_MAILBOX_H_
