#ifndef FLAMINGOYOKE_NODE_TRAFFIC_BODY_BUDGET_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_BODY_BUDGET_H_

#include <cstdint>
#include <utility>

namespace flamingoyoke {

// Limits the total size of the request bodies that are being received or are
// buffered. Not thread-safe.
class BodyBudget {
 public:
  // Bytes reserved from the budget, released by the destructor. Must not
  // outlive the budget.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(Reservation&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)),
          bytes_(std::exchange(other.bytes_, 0)) {}
    auto operator=(Reservation&& other) noexcept -> Reservation& {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    ~Reservation() {
      if (budget_ != nullptr) {
        budget_->used_ -= bytes_;
      }
    }

    // Reserves `bytes` more. Precondition: CanReserve(bytes), and this was
    // returned by Reserve().
    auto Grow(std::uint64_t bytes) -> void {
      budget_->used_ += bytes;
      bytes_ += bytes;
    }

    [[nodiscard]] auto bytes() const -> std::uint64_t { return bytes_; }

   private:
    friend class BodyBudget;
    Reservation(BodyBudget* budget, std::uint64_t bytes)
        : budget_(budget), bytes_(bytes) {}

    BodyBudget* budget_ = nullptr;
    std::uint64_t bytes_ = 0;
  };

  explicit BodyBudget(std::uint64_t limit) : limit_(limit) {}
  BodyBudget(const BodyBudget&) = delete;
  auto operator=(const BodyBudget&) -> BodyBudget& = delete;

  // Returns whether `bytes` fit into the rest of the budget.
  [[nodiscard]] auto CanReserve(std::uint64_t bytes) const -> bool {
    return bytes <= limit_ - used_;
  }

  // Reserves `bytes`. Precondition: CanReserve(bytes).
  auto Reserve(std::uint64_t bytes) -> Reservation {
    used_ += bytes;
    return {this, bytes};
  }

  [[nodiscard]] auto used() const -> std::uint64_t { return used_; }

 private:
  const std::uint64_t limit_;
  std::uint64_t used_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_BODY_BUDGET_H_
