#ifndef FLAMINGOYOKE_RUNTIME_DESCRIPTORS_H_
#define FLAMINGOYOKE_RUNTIME_DESCRIPTORS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace flamingoyoke {

// An open descriptor, closed by the destructor. Not thread-safe.
class OwnedDescriptor {
 public:
  OwnedDescriptor() = default;
  explicit OwnedDescriptor(int number) : number_(number) {}
  ~OwnedDescriptor() { Reset(); }
  OwnedDescriptor(OwnedDescriptor&& other) noexcept
      : number_(std::exchange(other.number_, -1)) {}
  auto operator=(OwnedDescriptor&& other) noexcept -> OwnedDescriptor& {
    std::swap(number_, other.number_);
    return *this;
  }

  // Closes the descriptor.
  auto Reset() -> void;
  // Gives up the ownership and returns the descriptor.
  auto Release() -> int { return std::exchange(number_, -1); }

  // Whether a descriptor is owned.
  [[nodiscard]] auto is_open() const -> bool { return number_ >= 0; }
  [[nodiscard]] auto number() const -> int { return number_; }

 private:
  int number_ = -1;
};

// Returns the number of descriptors that this process may open; empty if there
// is no limit or it cannot be read. It may be changed from outside at any time.
// Thread-safe.
auto ReadDescriptorLimit() -> std::optional<std::uint64_t>;

// Returns the number of free descriptors, counting up to `most`. Takes no
// descriptor. Other threads may take or close descriptors meanwhile.
// Thread-safe.
auto CountFreeDescriptors(std::size_t most) -> std::size_t;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_DESCRIPTORS_H_
