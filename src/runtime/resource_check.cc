#include "runtime/resource_check.h"

#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <future>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "runtime/system_limits.h"

namespace flamingoyoke {
namespace {

// How long to wait for the kernel to release all ended threads.
constexpr int kMaxReleaseWaits = 100;
constexpr auto kReleaseWait = std::chrono::milliseconds(1);
// As many processes may start at the same time under a low limit as under this
// one, but the headroom takes no more than a quarter of the limit.
constexpr std::uint64_t kLeastSharedLimit = 256;
// A high limit is usually shared with other software, which doesn't start in
// the same moment.
constexpr std::uint64_t kMostSharedLimit = 512;
constexpr std::uint64_t kMaxHeadroomDivisor = 4;

// Lowers the limit on tasks for this process, for the life of the object. A
// check that is refused then leaves the rest to processes that have passed
// theirs, which it would otherwise take for a moment.
class LoweredTaskLimit {
 public:
  explicit LoweredTaskLimit(std::size_t headroom_divisor) {
    if (getrlimit(RLIMIT_NPROC, &before_) != 0 ||
        before_.rlim_cur == RLIM_INFINITY) {
      return;
    }
    const auto headroom = TaskHeadroom(before_.rlim_cur, headroom_divisor);
    lowered_ = before_.rlim_cur - headroom;
    is_lowered_ = Replace(before_.rlim_cur, lowered_);
  }
  ~LoweredTaskLimit() {
    if (is_lowered_) {
      Replace(lowered_, before_.rlim_cur);
    }
  }
  LoweredTaskLimit(const LoweredTaskLimit&) = delete;
  auto operator=(const LoweredTaskLimit&) -> LoweredTaskLimit& = delete;

 private:
  // Sets `wanted`, unless the limit is no longer `expected`: it may be changed
  // from outside while the process runs. Returns whether it was set.
  static auto Replace(rlim_t expected, rlim_t wanted) -> bool {
    rlimit found{};
    if (getrlimit(RLIMIT_NPROC, &found) != 0 || found.rlim_cur != expected) {
      return false;
    }
    found.rlim_cur = wanted;
    return setrlimit(RLIMIT_NPROC, &found) == 0;
  }

  rlimit before_{};
  rlim_t lowered_ = 0;
  bool is_lowered_ = false;
};

// Threads that wait until they are destroyed.
class ParkedThreads {
 public:
  // Throws std::system_error if a thread is refused.
  explicit ParkedThreads(std::size_t count) : ids_(count) {
    threads_.reserve(count);
    try {
      for (auto& id : ids_) {
        threads_.emplace_back([&id, released = released_] {
          id = gettid();
          released.wait();
        });
      }
    } catch (...) {
      Release();
      throw;
    }
  }
  ~ParkedThreads() { Release(); }
  ParkedThreads(const ParkedThreads&) = delete;
  auto operator=(const ParkedThreads&) -> ParkedThreads& = delete;

 private:
  auto Release() -> void {
    release_.set_value();
    for (auto& thread : threads_) {
      thread.join();
    }
    // The kernel counts a joined thread until it has removed its entry.
    int waits = 0;
    for (std::size_t i = 0; i < threads_.size(); ++i) {
      const auto entry = "/proc/self/task/" + std::to_string(ids_[i]);
      for (; waits < kMaxReleaseWaits && access(entry.c_str(), F_OK) == 0;
           ++waits) {
        std::this_thread::sleep_for(kReleaseWait);
      }
    }
  }

  std::promise<void> release_;
  std::shared_future<void> released_ = release_.get_future().share();
  std::vector<pid_t> ids_;
  std::vector<std::thread> threads_;
};

// Descriptors that are open until they are destroyed.
class HeldDescriptors {
 public:
  HeldDescriptors() = default;
  ~HeldDescriptors() {
    for (const int descriptor : descriptors_) {
      close(descriptor);
    }
  }
  HeldDescriptors(const HeldDescriptors&) = delete;
  auto operator=(const HeldDescriptors&) -> HeldDescriptors& = delete;

  // Returns the number of the system error if a descriptor is refused, or 0.
  auto Open(std::size_t count) -> int {
    descriptors_.reserve(count);
    while (descriptors_.size() < count) {
      const int descriptor = eventfd(0, EFD_CLOEXEC);
      if (descriptor < 0) {
        return errno;
      }
      descriptors_.push_back(descriptor);
    }
    return 0;
  }

 private:
  std::vector<int> descriptors_;
};

auto FailRefused(const std::string& what, const std::error_code& reason)
    -> boost::leaf::error_id {
  return Fail(ErrorKind::kResourceRefused,
              "the system grants no " + what + ": " + reason.message() + " (" +
                  Describe(ReadSystemLimits()) + ")");
}

}  // namespace

auto TaskHeadroom(std::uint64_t limit, std::size_t divisor) -> std::uint64_t {
  const auto shared = std::clamp(limit, kLeastSharedLimit, kMostSharedLimit);
  return std::min(shared / divisor, limit / kMaxHeadroomDivisor);
}

auto CheckResources(const ResourceNeed& need) -> Result<void> {
  HeldDescriptors descriptors;
  if (const int error = descriptors.Open(need.descriptors); error != 0) {
    return FailRefused(std::to_string(need.descriptors) + " descriptors",
                       {error, std::generic_category()});
  }
  try {
    const LoweredTaskLimit limit(need.headroom_divisor);
    const ParkedThreads threads(need.threads);
  } catch (const std::system_error& refusal) {
    return FailRefused(std::to_string(need.threads) + " threads",
                       refusal.code());
  }
  return {};
}

}  // namespace flamingoyoke
