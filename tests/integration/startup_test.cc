#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "integration/support/blocking_http.h"
#include "integration/support/child_process.h"
#include "integration/support/fleet.h"
#include "integration/support/standins.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(startup, .fini = &ChildProcess::KillAll, .timeout = 120);

constexpr int kOk = 200;

// A named pipe. A process that reads its settings from it waits for the text,
// which holds its start at this point.
class SettingsPipe {
 public:
  SettingsPipe()
      : path_(ProgramPath("startup-" + std::to_string(getpid()) + ".json")) {
    cr_assert_eq(mkfifo(path_.c_str(), S_IRUSR | S_IWUSR), 0);
  }
  ~SettingsPipe() { std::remove(path_.c_str()); }
  SettingsPipe(const SettingsPipe&) = delete;
  auto operator=(const SettingsPipe&) -> SettingsPipe& = delete;

  // Waits until a process has opened the pipe for reading.
  auto WaitForReader() -> void {
    descriptor_ = open(path_.c_str(), O_WRONLY | O_CLOEXEC);
    cr_assert_geq(descriptor_, 0);
  }
  // Writes the settings and closes the pipe.
  auto Write(const std::string& text) -> void {
    cr_assert_eq(write(descriptor_, text.data(), text.size()),
                 static_cast<ssize_t>(text.size()));
    close(descriptor_);
  }
  [[nodiscard]] auto path() const -> const std::string& { return path_; }

 private:
  std::string path_;
  int descriptor_ = -1;
};

}  // namespace

// Guards against a process that a SIGHUP ends because its handler is not set
// yet: the platform may change the settings file while a VM starts.
Test(startup, sighup_before_the_handler_is_set_changes_nothing) {
  Platform platform;
  const auto admin_port = AllocatePort();
  const nlohmann::json settings = {
      {"vm", {{"id", "vm-0"}, {"failure_domain", "a"}, {"region", "north"}}},
      {"caller", {{"address", Loopback(AllocatePort()).text}}},
      {"mesh", {{"address", Loopback(AllocatePort()).text}}},
      {"admin", {{"address", Loopback(admin_port).text}}},
      {"platform", {{"address", Loopback(platform.port()).text}}}};
  SettingsPipe pipe;
  ChildProcess process(ProgramPath("flamingoyoked"),
                       std::vector<std::string>{"--settings", pipe.path()});
  pipe.WaitForReader();
  process.Signal(SIGHUP);
  pipe.Write(settings.dump());
  BlockingHttp http;
  cr_assert(
      WaitUntil([&] { return http.Get(admin_port, "/livez").status == kOk; },
                kFleetTimeout),
      "the process does not serve");
  process.Signal(SIGTERM);
  cr_assert_eq(process.WaitForExit(kFleetTimeout), 0);
}

}  // namespace flamingoyoke::integration
