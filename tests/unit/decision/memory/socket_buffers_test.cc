#include "decision/memory/socket_buffers.h"

#include <criterion/criterion.h>

namespace flamingoyoke {

// Guards against buffers of a crowd that fill the memory of a small VM, and
// against transfers that are slow when few connections are open.
Test(socket_buffers, shrink_with_the_number_of_connections) {
  constexpr std::uint64_t kMemory = 4'000'000;
  std::uint64_t receive_bytes = 0;
  std::uint64_t send_bytes = 0;
  for (std::size_t i = 1; i <= 400; ++i) {
    const auto buffers = SocketBuffersFor(kMemory, i);
    cr_assert_leq(buffers.receive_bytes, 256 << 10);
    cr_assert_geq(buffers.receive_bytes, 48 << 10);
    cr_assert_geq(buffers.send_bytes, 32 << 10);
    receive_bytes += buffers.receive_bytes;
    send_bytes += buffers.send_bytes;
  }
  cr_assert_leq(receive_bytes, 25'000'000);
  cr_assert_leq(send_bytes, 18'000'000);
  cr_assert_eq(SocketBuffersFor(kMemory, 1).send_bytes, 256 << 10);
  cr_assert_eq(SocketBuffersFor(kMemory, 0).send_bytes, 256 << 10);
}

}  // namespace flamingoyoke
