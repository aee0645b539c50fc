#include "node/traffic/gateway/request_log.h"

#include <chrono>
#include <string>
#include <utility>

#include "core/name_table.h"
#include "node/log.h"

namespace flamingoyoke {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(1);

}  // namespace

RequestLog::RequestLog(std::uint32_t lines_per_second)
    : lines_per_second_(lines_per_second) {}

auto RequestLog::OnRequest(const ServiceId& service,
                           const PoolRunner::Record& record,
                           Revision routing,
                           Revision registry) -> void {
  if (record.ended - second_started_ >= kPeriod) {
    second_started_ = record.ended;
    lines_ = 0;
    if (const auto suppressed = std::exchange(suppressed_, 0); suppressed > 0) {
      Log(Part::kGateway, LogLevel::kWarning,
          "suppressed the log lines of " + std::to_string(suppressed) +
              " requests");
    }
  }
  if (lines_ >= lines_per_second_) {
    ++suppressed_;
    return;
  }
  ++lines_;
  const auto& request = record.request;
  std::string line = "request id=" + request.caller_id;
  line += " route=" + request.route;
  line += " team=" + (request.team.empty() ? "-" : request.team.value());
  line += " service=" + service.value();
  line += " status=" + std::to_string(record.status);
  line += " error=" + std::string(record.error ? ToName(*record.error) : "-");
  line +=
      " ms=" + std::to_string(ToMilliseconds(record.ended - request.arrived));
  line += " left_ms=" +
          std::to_string(ToMilliseconds(request.deadline - record.ended));
  line += " routing=" + std::to_string(routing.value());
  line += " registry=" + std::to_string(registry.value());
  line += " tried:" + request.history;
  Log(Part::kGateway, LogLevel::kInfo, line);
}

}  // namespace flamingoyoke
