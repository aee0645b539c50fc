#include "node/traffic/caller_headers.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "core/answer_table.h"
#include "node/traffic/error_response.h"
#include "node/traffic/http_text.h"

namespace flamingoyoke {
namespace {

constexpr std::string_view kReservedHeaderPrefix = "flamingoyoke-";
constexpr std::size_t kMaxTeamLength = 128;
// One day. A longer deadline is taken for a mistake; the limit also prevents
// overflow when the deadline is added to the current time.
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;

// Returns the connection options: header names listed in the Connection header,
// which are hop-by-hop.
auto ConnectionOptions(const HttpHeaders& headers)
    -> std::unordered_set<std::string> {
  std::unordered_set<std::string> options;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoringCase(name, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const auto item = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), item.size() + 1));
      options.insert(ToLower(TrimSpace(item)));
    }
  }
  return options;
}

// Returns the headers without hop-by-hop and reserved ones.
auto EndToEndHeaders(const HttpHeaders& headers) -> HttpHeaders {
  const auto options = ConnectionOptions(headers);
  HttpHeaders kept;
  for (const auto& [name, value] : headers) {
    const auto lower = ToLower(name);
    const bool dropped = IsHopByHop(lower) ||
                         lower.substr(0, kReservedHeaderPrefix.size()) ==
                             kReservedHeaderPrefix ||
                         options.contains(lower);
    if (!dropped) {
      kept.emplace_back(name, value);
    }
  }
  return kept;
}

auto MayHaveBody(std::string_view method) -> bool {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

}  // namespace

auto ReadCallerHeaders(const HttpHeaders& headers) -> Result<CallerHeaders> {
  CallerHeaders read;
  if (const auto text = FindHeader(headers, kDeadlineHeader)) {
    const auto ms = ParseDecimal(TrimSpace(*text));
    if (!ms || *ms == 0 || *ms > kMaxDeadlineMs) {
      return Fail(
          ErrorKind::kInvalidHeader,
          "the deadline must be an integer from 1 to 86400000 milliseconds");
    }
    read.deadline = std::chrono::milliseconds(*ms);
  }
  if (const auto text = FindHeader(headers, kKeyHeader)) {
    BOOST_LEAF_ASSIGN(read.key, ParseIdempotencyKey(TrimSpace(*text)));
  }
  if (const auto text = FindHeader(headers, kTeamHeader)) {
    const auto team = TrimSpace(*text);
    if (team.empty() || team.size() > kMaxTeamLength) {
      return Fail(ErrorKind::kInvalidHeader,
                  "the team name must have 1 to 128 bytes");
    }
    read.team = TeamId(std::string(team));
  }
  if (const auto text = FindHeader(headers, kTraceHeader)) {
    read.trace = ParseTraceparent(TrimSpace(*text));
  }
  return read;
}

auto MakeForwardedHead(const RequestHead& head, std::size_t body_bytes)
    -> RequestHead {
  RequestHead forwarded{head.method, head.target, {}};
  for (auto& header : EndToEndHeaders(head.headers)) {
    const auto name = ToLower(header.first);
    // The body is already buffered, so `Expect` is obsolete and the length is
    // known. `traceparent` is replaced by one that names this VM's span.
    if (name == "content-length" || name == "expect" || name == kTraceHeader) {
      continue;
    }
    forwarded.headers.push_back(std::move(header));
  }
  if (body_bytes > 0 || MayHaveBody(head.method)) {
    forwarded.headers.emplace_back("Content-Length",
                                   std::to_string(body_bytes));
  }
  return forwarded;
}

auto MakeRelayedHead(const ResponseHead& head) -> ResponseHead {
  ResponseHead relayed{head.status, head.reason, EndToEndHeaders(head.headers)};
  relayed.headers.emplace_back(kOutcomeHeader, ToName(Outcome::kRun));
  return relayed;
}

}  // namespace flamingoyoke
