#include "runtime/system_limits.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <system_error>

namespace flamingoyoke {
namespace {

constexpr std::size_t kMaxFileBytes = 4096;

// Returns the start of a file, or nothing if it cannot be read, as when the
// process has no descriptor left.
auto ReadText(const std::string& path) -> std::string {
  std::string text(kMaxFileBytes, 0);
  const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return "";
  }
  const auto size = read(file, text.data(), text.size());
  close(file);
  text.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  return text;
}

auto ReadLimit(__rlimit_resource resource) -> std::optional<std::uint64_t> {
  rlimit limit{};
  if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return limit.rlim_cur;
}

// A group without a limit has the text "max".
auto ReadGroupTasks() -> std::optional<std::uint64_t> {
  const auto path = FindGroupTaskLimit(ReadText("/proc/self/cgroup"));
  const auto text = path.empty() ? std::string() : ReadText(path);
  std::uint64_t limit = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), limit);
  return parsed.ec == std::errc() ? std::optional(limit) : std::nullopt;
}

auto ToText(const std::optional<std::uint64_t>& limit) -> std::string {
  return limit ? std::to_string(*limit) : "unlimited";
}

}  // namespace

auto ReadSystemLimits() -> SystemLimits {
  return {.user_tasks = ReadLimit(RLIMIT_NPROC),
          .group_tasks = ReadGroupTasks(),
          .descriptors = ReadLimit(RLIMIT_NOFILE),
          .address_space_bytes = ReadLimit(RLIMIT_AS)};
}

auto Describe(const SystemLimits& limits) -> std::string {
  return "tasks of the user " + ToText(limits.user_tasks) +
         ", tasks of the control group " + ToText(limits.group_tasks) +
         ", descriptors " + ToText(limits.descriptors) + ", address space " +
         ToText(limits.address_space_bytes);
}

auto FindGroupTaskLimit(const std::string& cgroups) -> std::string {
  // Each line is "<hierarchy>:<controllers>:<path>". Version 2 has the one
  // hierarchy 0 and names no controllers.
  for (std::size_t start = 0; start < cgroups.size();) {
    const auto end = std::min(cgroups.find('\n', start), cgroups.size());
    const auto line = cgroups.substr(start, end - start);
    start = end + 1;
    const auto first = line.find(':');
    const auto second = line.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
      continue;
    }
    const auto controllers = line.substr(first + 1, second - first - 1);
    const auto path = line.substr(second + 1);
    if (controllers == "pids") {
      return "/sys/fs/cgroup/pids" + path + "/pids.max";
    }
    if (line.substr(0, first) == "0" && controllers.empty()) {
      return "/sys/fs/cgroup" + path + "/pids.max";
    }
  }
  return "";
}

}  // namespace flamingoyoke
