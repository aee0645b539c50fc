#ifndef FLAMINGOYOKE_DAEMON_PROCESS_LIMITS_H_
#define FLAMINGOYOKE_DAEMON_PROCESS_LIMITS_H_

namespace flamingoyoke {

// Makes the process fit into limits on its address space that are close to the
// memory it uses: all threads share one malloc arena and have small stacks.
// Call it before any other thread starts.
auto LimitAddressSpace() -> void;

// Raises the soft limit of open descriptors to the hard limit, if the system
// permits it.
auto RaiseDescriptorLimit() -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DAEMON_PROCESS_LIMITS_H_
