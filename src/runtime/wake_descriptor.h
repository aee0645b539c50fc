#ifndef FLAMINGOYOKE_RUNTIME_WAKE_DESCRIPTOR_H_
#define FLAMINGOYOKE_RUNTIME_WAKE_DESCRIPTOR_H_

namespace flamingoyoke {

// An eventfd that wakes an event loop from another thread.
class WakeDescriptor {
 public:
  // Throws std::system_error if the process is out of descriptors.
  WakeDescriptor();
  ~WakeDescriptor();

  WakeDescriptor(const WakeDescriptor&) = delete;
  auto operator=(const WakeDescriptor&) -> WakeDescriptor& = delete;

  // Makes the descriptor readable. Thread-safe.
  auto Signal() -> void;
  // Makes the descriptor unreadable until the next Signal. Thread-safe.
  auto Clear() -> void;

  [[nodiscard]] auto descriptor() const -> int { return descriptor_; }

 private:
  int descriptor_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_WAKE_DESCRIPTOR_H_
