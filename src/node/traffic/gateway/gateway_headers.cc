#include "node/traffic/gateway/gateway_headers.h"

#include <algorithm>
#include <utility>

#include "node/traffic/caller_headers.h"
#include "node/traffic/http_text.h"
#include "node/traffic/retry_after.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kServiceUnavailable = 503;
// Longer times are treated as errors. Also prevents overflow when the time is
// added to the clock.
constexpr std::uint64_t kMaxTimeLeftMs = 24ULL * 3600 * 1000;

auto ReadSignalsOf(const GatewayDialect& dialect,
                   const RequestHead& request,
                   const ResponseHead& answer) -> UpstreamSignals {
  const auto& names = dialect.headers;
  UpstreamSignals signals;
  signals.other_target = answer.status == dialect.misdirected_status;
  signals.not_run = FindHeader(answer.headers, names.not_run).has_value();
  const auto& promises = dialect.not_run_statuses;
  signals.promises_not_run = std::find(promises.begin(), promises.end(),
                                       answer.status) != promises.end();
  signals.draining =
      !names.leaving.empty() &&
      TrimSpace(FindHeader(answer.headers, names.leaving).value_or("")) == "1";
  if (answer.status == kServiceUnavailable) {
    signals.rest = FindRetryAfter(answer.headers, WallClockMs());
  }
  if (dialect.read_load && !names.load.empty() && !signals.other_target) {
    if (const auto load = FindHeader(answer.headers, names.load)) {
      signals.stated_load = dialect.read_load(TrimSpace(*load));
    }
  }
  const bool is_success =
      answer.status >= kOk && answer.status < kMultipleChoices;
  // Targets repeat the request ID in all answers. An answer with another ID or
  // none may be a duplicate of an earlier one.
  signals.foreign =
      FindHeader(answer.headers, names.request_id) !=
          FindHeader(request.headers, names.request_id) ||
      (is_success && (!FindHeader(answer.headers, names.signature) ||
                      FindHeader(answer.headers, "Content-Encoding")));
  return signals;
}

}  // namespace

auto ReadGatewayCaller(const HeaderNames& names, const HttpHeaders& headers)
    -> GatewayCaller {
  GatewayCaller caller;
  caller.request_id = FindHeader(headers, names.request_id).value_or("");
  caller.host = FindHeader(headers, "Host").value_or("");
  if (const auto text = FindHeader(headers, names.remaining_time_ms)) {
    const auto ms = ParseDecimal(TrimSpace(*text));
    if (ms && *ms <= kMaxTimeLeftMs) {
      caller.time_left = std::chrono::milliseconds(*ms);
    }
  }
  return caller;
}

auto MakeGatewayHead(const HeaderNames& names,
                     const RequestHead& head,
                     std::size_t body_bytes) -> RequestHead {
  auto forwarded = MakeForwardedHead(head, body_bytes);
  auto& headers = forwarded.headers;
  headers.erase(
      std::remove_if(
          headers.begin(), headers.end(),
          [&](const auto& header) {
            return EqualsIgnoringCase(header.first, names.remaining_time_ms) ||
                   EqualsIgnoringCase(header.first, names.expected_target);
          }),
      headers.end());
  return forwarded;
}

auto AddAttemptHeaders(const HeaderNames& names,
                       Duration time_left,
                       const TargetId& target,
                       HttpHeaders& headers) -> void {
  headers.emplace_back(names.remaining_time_ms,
                       std::to_string(ToMilliseconds(time_left)));
  headers.emplace_back(names.expected_target, target.value());
}

auto RegisteredUpstreamInterface(const GatewayDialect& dialect)
    -> UpstreamInterface {
  return {
      .read_signals =
          [dialect](const RequestHead& request, const ResponseHead& answer) {
            return ReadSignalsOf(dialect, request, answer);
          },
      .accepts_close_delimited = true};
}

}  // namespace flamingoyoke
