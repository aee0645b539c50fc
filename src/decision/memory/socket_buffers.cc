#include "decision/memory/socket_buffers.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// The kernel counts its overhead as much as the payload.
constexpr std::uint64_t kMemoryPerByte = 2;
constexpr std::uint64_t kMaxBytes = 256 << 10;
constexpr std::uint64_t kMinSendBytes = 32 << 10;
// A sender waits for a window of half the largest one that it has seen, which
// is 64 KiB on the loopback device.
constexpr std::uint64_t kMinReceiveBytes = 48 << 10;

}  // namespace

auto SocketBuffersFor(std::uint64_t memory_bytes, std::size_t connections)
    -> SocketBuffers {
  const auto share =
      memory_bytes / kMemoryPerByte / std::max<std::uint64_t>(connections, 1);
  return {static_cast<int>(std::clamp(share, kMinReceiveBytes, kMaxBytes)),
          static_cast<int>(std::clamp(share, kMinSendBytes, kMaxBytes))};
}

}  // namespace flamingoyoke
