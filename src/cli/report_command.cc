#include "cli/report_command.h"

#include <iostream>
#include <string>
#include <variant>

#include "cli/report_text.h"
#include "cli/vm_request.h"
#include "core/result.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {
namespace {

constexpr auto kWatchPeriod = std::chrono::seconds(1);

auto PrintReport(const ReportCommand& command) -> ExitCode {
  const auto* target =
      command.format == ReportFormat::kCsv ? "/report.csv" : "/report.json";
  const auto response = FetchFromVm(command.address, target, "admin.address");
  if (const auto* code = std::get_if<ExitCode>(&response)) {
    return *code;
  }
  const auto& body = std::get<std::string>(response);
  if (command.format != ReportFormat::kText) {
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

auto Sleep(Duration duration) -> void {
  EventLoop loop;
  auto timer = loop.MakeTimer([&] { loop.Quit(); });
  timer.Schedule(duration);
  loop.Run();
}

}  // namespace

auto Run(const ReportCommand& command) -> ExitCode {
  auto code = PrintReport(command);
  while (command.watch && code == ExitCode::kOk) {
    Sleep(kWatchPeriod);
    std::cout << "\n";
    code = PrintReport(command);
  }
  return code;
}

}  // namespace flamingoyoke
