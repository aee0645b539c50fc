#include "cli/report_command.h"

#include <iostream>
#include <string>
#include <variant>

#include "cli/report_text.h"
#include "cli/vm_page.h"
#include "core/result.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {
namespace {

constexpr auto kWatchPeriod = std::chrono::seconds(1);

auto ShowOnce(const ReportCommand& command) -> ExitCode {
  const auto* target =
      command.form == ReportForm::kCsv ? "/report.csv" : "/report.json";
  const auto page = FetchPage(command.address, target, "admin.address");
  if (const auto* code = std::get_if<ExitCode>(&page)) {
    return *code;
  }
  const auto& body = std::get<std::string>(page);
  if (command.form != ReportForm::kText) {
    std::cout << body << std::flush;
    return ExitCode::kOk;
  }
  std::optional<std::string> text;
  const auto error = CaptureInto(text, [&] { return RenderText(body); });
  if (error) {
    std::cerr << "flamingoyoke: " << error->detail << "\n";
    return ExitCode::kFault;
  }
  std::cout << *text << std::flush;
  return ExitCode::kOk;
}

auto Wait(Duration time) -> void {
  EventLoop loop;
  auto timer = loop.MakeTimer([&] { loop.Quit(); });
  timer.Schedule(time);
  loop.Run();
}

}  // namespace

auto Run(const ReportCommand& command) -> ExitCode {
  auto code = ShowOnce(command);
  while (command.watch && code == ExitCode::kOk) {
    Wait(kWatchPeriod);
    std::cout << "\n";
    code = ShowOnce(command);
  }
  return code;
}

}  // namespace flamingoyoke
