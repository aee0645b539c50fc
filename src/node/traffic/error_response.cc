#include "node/traffic/error_response.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include "core/answer_table.h"

namespace flamingoyoke {
namespace {

struct StatusReason {
  int status;
  std::string_view reason;
};

constexpr auto kReasonPhrases = std::to_array<StatusReason>({
    {307, "Temporary Redirect"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {404, "Not Found"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Payload Too Large"},
    {428, "Precondition Required"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
});

auto ReasonPhrase(int status) -> std::string {
  for (const auto& entry : kReasonPhrases) {
    if (entry.status == status) {
      return std::string(entry.reason);
    }
  }
  return "Error";
}

constexpr int kUnauthorizedStatus = 401;
constexpr auto* kRetryAfterHeader = "Retry-After";

// Returns the duration in seconds with three decimals.
auto FormatSeconds(Duration duration) -> std::string {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  constexpr std::size_t kDecimals = 3;
  const auto ms = ToMilliseconds(duration);
  auto decimals = std::to_string(ms % kMillisecondsPerSecond);
  decimals.insert(0, kDecimals - decimals.size(), '0');
  return std::to_string(ms / kMillisecondsPerSecond) + "." + decimals;
}

// Value of Retry-After, which is in whole seconds; null without a useful delay.
auto RetryAfterSeconds(RetryAdvice advice) -> const char* {
  switch (advice) {
    case RetryAdvice::kNow:
      return "0";
    case RetryAdvice::kLater:
      return "1";
    case RetryAdvice::kNever:
    case RetryAdvice::kOnlyIfRepeatable:
      return nullptr;
  }
  return nullptr;
}

}  // namespace

auto MakeErrorHead(ErrorKind kind, const RetryAfterHint& hint) -> ResponseHead {
  auto head = MakeErrorHead(kind);
  if (hint.delay <= Duration::zero()) {
    return head;
  }
  for (auto& [name, value] : head.headers) {
    if (name == kRetryAfterHeader) {
      value = hint.fractional
                  ? FormatSeconds(hint.delay)
                  : std::to_string(
                        std::chrono::ceil<std::chrono::seconds>(hint.delay)
                            .count());
    }
  }
  return head;
}

auto MakeErrorHead(ErrorKind kind) -> ResponseHead {
  const auto& answer = AnswerFor(kind);
  ResponseHead head{answer.http_status, ReasonPhrase(answer.http_status), {}};
  head.headers.emplace_back("Content-Type", "application/json");
  head.headers.emplace_back(kOutcomeHeader, ToName(answer.outcome));
  head.headers.emplace_back(kErrorHeader, ToName(kind));
  if (answer.http_status == kUnauthorizedStatus) {
    // HTTP requires a challenge with this status; some clients fail without.
    head.headers.emplace_back("WWW-Authenticate", "ApiKey");
  }
  if (const auto* seconds = RetryAfterSeconds(answer.advice)) {
    head.headers.emplace_back(kRetryAfterHeader, seconds);
  }
  return head;
}

auto MakeErrorBody(ErrorKind kind) -> std::string {
  const auto& answer = AnswerFor(kind);
  // The values come from name tables and need no escaping.
  return R"({"error":")" + std::string(ToName(kind)) + R"(","outcome":")" +
         std::string(ToName(answer.outcome)) + R"(","retry":")" +
         std::string(ToName(answer.advice)) + "\"}\n";
}

auto RenderClosingError(ErrorKind kind) -> std::string {
  const auto head = MakeErrorHead(kind);
  const auto body = MakeErrorBody(kind);
  auto text =
      "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
  for (const auto& [name, value] : head.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append("Content-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\nConnection: close\r\n\r\n");
  return text + body;
}

}  // namespace flamingoyoke
