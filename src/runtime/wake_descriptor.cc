#include "runtime/wake_descriptor.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace flamingoyoke {

WakeDescriptor::WakeDescriptor()
    : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (descriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

WakeDescriptor::~WakeDescriptor() {
  close(descriptor_);
}

auto WakeDescriptor::Signal() -> void {
  const std::uint64_t one = 1;
  // The write fails if the counter is full; the descriptor is readable then
  // already.
  [[maybe_unused]] const auto written = write(descriptor_, &one, sizeof(one));
}

auto WakeDescriptor::Clear() -> void {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto taken = read(descriptor_, &count, sizeof(count));
}

}  // namespace flamingoyoke
