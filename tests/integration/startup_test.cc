#include <criterion/criterion.h>
#include <elf.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
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
constexpr std::array kDaemons = {"flamingoyoked", "flamingoyoked-platform"};
// Libraries that load in different parts of the start.
constexpr std::array kLibraries = {"libevent-2.1.so.7", "libprotobuf.so.32",
                                   "libspdlog.so.1.10", "libzmq.so.5"};

// A named pipe in place of a file. A process that opens it waits for the text,
// which holds its start at this point.
class FilePipe {
 public:
  explicit FilePipe(std::string path) : path_(std::move(path)) {
    // A write to a process that has ended fails instead of ending the test.
    std::signal(SIGPIPE, SIG_IGN);
    cr_assert_eq(mkfifo(path_.c_str(), S_IRUSR | S_IWUSR), 0);
  }
  ~FilePipe() { std::remove(path_.c_str()); }
  FilePipe(const FilePipe&) = delete;
  auto operator=(const FilePipe&) -> FilePipe& = delete;

  // Waits until a process has opened the pipe for reading.
  auto WaitForReader() -> void {
    descriptor_ = open(path_.c_str(), O_WRONLY | O_CLOEXEC);
    cr_assert_geq(descriptor_, 0);
  }
  // Writes the text and closes the pipe.
  auto Write(const std::string& text) -> void {
    cr_assert_eq(write(descriptor_, text.data(), text.size()),
                 static_cast<ssize_t>(text.size()),
                 "the process that read %s has ended", path_.c_str());
    close(descriptor_);
  }
  [[nodiscard]] auto path() const -> const std::string& { return path_; }

 private:
  std::string path_;
  int descriptor_ = -1;
};

// A folder that is removed with its content.
class TemporaryFolder {
 public:
  TemporaryFolder()
      : path_(ProgramPath("startup-" + std::to_string(getpid()))) {
    std::filesystem::create_directory(path_);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  auto operator=(const TemporaryFolder&) -> TemporaryFolder& = delete;

  [[nodiscard]] auto PathOf(const std::string& name) const -> std::string {
    return path_ + "/" + name;
  }
  [[nodiscard]] auto path() const -> const std::string& { return path_; }

 private:
  std::string path_;
};

// Holds a process while it loads `library`, by a pipe of this name in a folder
// that the dynamic linker searches first.
class LibraryHold {
 public:
  LibraryHold(const std::string& program,
              const std::string& library,
              const nlohmann::json& settings)
      : pipe_(folder_.PathOf(library)) {
    const auto settings_file = folder_.PathOf("settings.json");
    std::ofstream(settings_file) << settings.dump();
    setenv("LD_LIBRARY_PATH", folder_.path().c_str(), 1);
    process_.emplace(ProgramPath(program),
                     std::vector<std::string>{"--settings", settings_file});
    unsetenv("LD_LIBRARY_PATH");
    pipe_.WaitForReader();
  }

  // Lets the start go on. The dynamic linker skips a library of another word
  // size and takes the next one of this name.
  auto Release() -> void {
    constexpr std::size_t kHeaderSize = 64;
    std::string header = {'\x7f', 'E', 'L', 'F', ELFCLASS32};
    header.resize(kHeaderSize);
    pipe_.Write(header);
  }
  auto process() -> ChildProcess& { return *process_; }

 private:
  TemporaryFolder folder_;
  FilePipe pipe_;
  std::optional<ChildProcess> process_;
};

auto SettingsWith(int admin_port, int platform_port) -> nlohmann::json {
  return {
      {"vm", {{"id", "vm-0"}, {"failure_domain", "a"}, {"region", "north"}}},
      {"caller", {{"address", Loopback(AllocatePort()).text}}},
      {"mesh", {{"address", Loopback(AllocatePort()).text}}},
      {"admin", {{"address", Loopback(admin_port).text}}},
      {"platform", {{"address", Loopback(platform_port).text}}}};
}

}  // namespace

// Guards against a process that a SIGHUP ends because its handler is not set
// yet: the platform may change the settings file while a VM starts.
Test(startup, sighup_before_the_handler_is_set_changes_nothing) {
  Platform platform;
  const auto admin_port = AllocatePort();
  const auto settings = SettingsWith(admin_port, platform.port());
  FilePipe pipe(ProgramPath("startup-" + std::to_string(getpid()) + ".json"));
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

// Guards against a process that a SIGHUP ends while its libraries load, which
// takes most of its start.
Test(startup, sighup_while_the_libraries_load_changes_nothing) {
  Platform platform;
  BlockingHttp http;
  for (const auto* program : kDaemons) {
    for (const auto* library : kLibraries) {
      const auto admin_port = AllocatePort();
      LibraryHold hold(program, library,
                       SettingsWith(admin_port, platform.port()));
      hold.process().Signal(SIGHUP);
      hold.Release();
      cr_assert(
          WaitUntil(
              [&] { return http.Get(admin_port, "/livez").status == kOk; },
              kFleetTimeout),
          "%s does not serve after a SIGHUP while it loaded %s", program,
          library);
    }
  }
}

// Guards against a stop signal that is lost because it arrives before there is
// a loop that handles it.
Test(startup, sigterm_while_the_libraries_load_ends_the_process) {
  for (const auto* program : kDaemons) {
    LibraryHold hold(program, kLibraries.back(),
                     SettingsWith(AllocatePort(), AllocatePort()));
    hold.process().Signal(SIGTERM);
    cr_assert_eq(hold.process().WaitForExit(kFleetTimeout), -SIGTERM);
  }
}

// Guards against a crash without a reason when a daemon's library is missing.
Test(startup, program_without_its_library_exits_with_a_message) {
  for (const auto* program : kDaemons) {
    const TemporaryFolder folder;
    const auto copy = folder.PathOf(program);
    std::filesystem::copy_file(ProgramPath(program), copy);
    ChildProcess process(copy, {}, CapturedOutput::kStdoutAndStderr);
    const auto output = process.ReadAll(kFleetTimeout);
    cr_assert_neq(output.find("cannot load the daemon: lib"), std::string::npos,
                  "%s", output.c_str());
    cr_assert_eq(process.WaitForExit(kFleetTimeout), 1);
  }
}

}  // namespace flamingoyoke::integration
