#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CONNECTION_PART_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CONNECTION_PART_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <utility>

#include "decision/descriptors/descriptor_budget.h"
#include "node/log.h"

namespace flamingoyoke {

// A limit that is set before the first connection is opened.
inline constexpr std::size_t kUnlimitedConnections =
    std::numeric_limits<std::size_t>::max() / 2;

// Limits the open connections of one use to its part of the descriptors, and
// logs when the part is used up and when it is free again. Not thread-safe.
class ConnectionPart {
 public:
  // Counts one connection from its creation to its destruction. Must not
  // outlive the part.
  class Share {
   public:
    Share() = default;
    explicit Share(ConnectionPart& part) : part_(&part) { ++part.used_; }
    Share(Share&& other) noexcept
        : part_(std::exchange(other.part_, nullptr)) {}
    auto operator=(Share&& other) noexcept -> Share& {
      std::swap(part_, other.part_);
      return *this;
    }
    ~Share() {
      if (part_ != nullptr) {
        part_->OnClosed();
      }
    }

   private:
    ConnectionPart* part_ = nullptr;
  };

  // Closes one idle connection soon. Returns false if there is none.
  using CloseIdle = std::function<bool()>;

  // A registered callback, removed by the destructor. Must not outlive the
  // part.
  class Registration {
   public:
    Registration(ConnectionPart& part, CloseIdle close_idle);
    ~Registration();
    Registration(const Registration&) = delete;
    auto operator=(const Registration&) -> Registration& = delete;

   private:
    ConnectionPart& part_;
    const std::list<CloseIdle>::iterator entry_;
  };

  // `limit` must be positive. `log_part` is the component that logs.
  ConnectionPart(Part log_part, DescriptorUse use, std::size_t limit)
      : log_part_(log_part), use_(use), limit_(limit) {}
  ConnectionPart(const ConnectionPart&) = delete;
  auto operator=(const ConnectionPart&) -> ConnectionPart& = delete;

  // Returns whether one more connection may be opened. At the limit, closes an
  // idle connection in exchange.
  auto MakeRoom() -> bool;

  // Sets another limit, which must be positive. Open connections stay.
  auto set_limit(std::size_t limit) -> void { limit_ = limit; }
  [[nodiscard]] auto limit() const -> std::size_t { return limit_; }
  // Number of open connections.
  [[nodiscard]] auto used() const -> std::size_t { return used_; }

 private:
  auto OnClosed() -> void;

  const Part log_part_;
  const DescriptorUse use_;
  std::size_t limit_;
  std::size_t used_ = 0;
  // Whether the log says that the part is used up.
  bool is_used_up_ = false;
  // The first is asked first and goes to the end.
  std::list<CloseIdle> close_idle_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CONNECTION_PART_H_
