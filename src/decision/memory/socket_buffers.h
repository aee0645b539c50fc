#ifndef FLAMINGOYOKE_DECISION_MEMORY_SOCKET_BUFFERS_H_
#define FLAMINGOYOKE_DECISION_MEMORY_SOCKET_BUFFERS_H_

#include <cstddef>
#include <cstdint>

namespace flamingoyoke {

// Payload that the kernel may buffer for a connection, in bytes. Its memory for
// them is about twice as large.
struct SocketBuffers {
  int receive_bytes = 0;
  int send_bytes = 0;
};

// Returns the buffers of a connection, so that peers that send without an end
// and callers that don't read cannot fill the memory of the VM with what the
// kernel would buffer by default: several megabytes for each connection. The
// more connections are open, the smaller they are. `memory_bytes` is the memory
// for the buffers of all these connections in one direction; crowds take more,
// as a connection always has enough for 5 MB/s at a round trip of 6 ms.
// Precondition: `connections` counts the new connection. Thread-safe.
auto SocketBuffersFor(std::uint64_t memory_bytes, std::size_t connections)
    -> SocketBuffers;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_MEMORY_SOCKET_BUFFERS_H_
