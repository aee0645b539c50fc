#ifndef FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_MEMORY_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

namespace flamingoyoke {

// Limits the memory of all answers that a process holds: input of targets that
// is not parsed yet, and bodies that wait for their callers. Unparsed input
// cannot be relayed, so the connection that holds most of it is evicted at the
// limit. Bodies are limited by back-pressure. Not thread-safe.
class AnswerMemory {
 public:
  // Bytes held for one connection or answer, released by the destructor. Must
  // not outlive the AnswerMemory.
  class Share {
   public:
    // `on_evict` is called at most once, within Set() of any share. It must not
    // destroy or set a share. Without it, the share is never evicted.
    explicit Share(AnswerMemory* memory, std::function<void()> on_evict = {});
    Share(const Share&) = delete;
    auto operator=(const Share&) -> Share& = delete;
    ~Share();

    // Sets the number of bytes held.
    auto Set(std::size_t bytes) -> void;
    [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

   private:
    friend class AnswerMemory;

    AnswerMemory* memory_;
    std::function<void()> on_evict_;
    std::size_t bytes_ = 0;
  };

  explicit AnswerMemory(std::uint64_t limit) : limit_(limit) {}
  AnswerMemory(const AnswerMemory&) = delete;
  auto operator=(const AnswerMemory&) -> AnswerMemory& = delete;

  [[nodiscard]] auto limit() const -> std::uint64_t { return limit_; }
  [[nodiscard]] auto used() const -> std::uint64_t { return used_; }
  // Whether more than half of the limit is used. Answers should then be relayed
  // in small pieces.
  [[nodiscard]] auto is_short() const -> bool { return used_ > limit_ / 2; }
  // Whether the limit is used up. New requests should then be refused.
  [[nodiscard]] auto is_exhausted() const -> bool { return used_ >= limit_; }
  // Number of evicted shares.
  [[nodiscard]] auto evictions() const -> std::uint64_t { return evictions_; }

 private:
  auto EvictLargest() -> void;

  const std::uint64_t limit_;
  std::uint64_t used_ = 0;
  std::uint64_t evictions_ = 0;
  // Shares that can be evicted.
  std::set<Share*> evictable_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_MEMORY_H_
