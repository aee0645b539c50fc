#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_GATEWAY_FIGURES_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_GATEWAY_FIGURES_H_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <string>

#include "integration/support/published_fleet.h"

namespace flamingoyoke::integration {

// Processor time that `pid` has used.
auto ProcessorTime(pid_t pid) -> std::chrono::duration<double>;

// Most memory that `pid` has held so far, in kB; 0 if it doesn't run.
auto PeakMemoryKb(pid_t pid) -> long;

// Number of descriptors that `pid` has open.
auto CountDescriptors(pid_t pid) -> std::size_t;

// Bytes that the kernel holds in the queues of the IPv4 TCP sockets of `pid`:
// received ones that it didn't read, and written ones that were not
// acknowledged.
auto SocketQueueBytes(pid_t pid) -> std::size_t;

// Returns the value of a metric without labels, or -1 if it cannot be read.
auto ReadMetric(PublishedStoreFleet& fleet,
                std::size_t gateway,
                const std::string& name) -> double;

// Whether a gateway has a two-way link to each of the others.
auto HasAllPeers(PublishedStoreFleet& fleet, std::size_t gateway) -> bool;

// Number of log lines of a gateway that contain `words`.
auto CountLogLines(const PublishedStoreFleet& fleet,
                   std::size_t gateway,
                   const std::string& words) -> int;

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_GATEWAY_FIGURES_H_
