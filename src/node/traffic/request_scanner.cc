#include "node/traffic/request_scanner.h"

#include <event2/http.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "core/overloaded.h"
#include "node/traffic/http_text.h"

namespace flamingoyoke {
namespace {

struct MethodRule {
  std::string_view name;
  // Whether evhttp reads the body of such a request. Otherwise it would parse
  // the body as the next request.
  bool may_have_body;
};

constexpr auto kMethods = std::to_array<MethodRule>({{"GET", true},
                                                     {"POST", true},
                                                     {"HEAD", false},
                                                     {"PUT", true},
                                                     {"DELETE", true},
                                                     {"OPTIONS", true},
                                                     {"PATCH", true}});
constexpr std::string_view kVersion = "HTTP/1.1";
constexpr std::string_view kReservedHeaderPrefix = "flamingoyoke-";
// 15 hexadecimal digits and CRLF; evhttp does not support chunk extensions.
constexpr std::size_t kMaxChunkLine = 17;

// Whether a header must not be repeated: other parsers may use the last copy
// instead of the first.
auto IsSingletonHeader(std::string_view lower_name) -> bool {
  return lower_name == "host" || lower_name == "content-length" ||
         lower_name == "transfer-encoding" || lower_name == "traceparent" ||
         lower_name.substr(0, kReservedHeaderPrefix.size()) ==
             kReservedHeaderPrefix;
}

auto FindMethod(std::string_view name) -> const MethodRule* {
  const auto* found =
      std::find_if(kMethods.begin(), kMethods.end(),
                   [&](const MethodRule& rule) { return rule.name == name; });
  return found == kMethods.end() ? nullptr : found;
}

auto IsOriginForm(std::string_view target) -> bool {
  return !target.empty() && target.front() == '/' &&
         std::all_of(target.begin(), target.end(),
                     [](char c) { return c > ' ' && c < 0x7f && c != '#'; });
}

// Returns whether evhttp delivers a request with `target`, which is in origin
// form. evhttp reads two leading slashes as the start of an authority, and
// drops the request without an answer if that is not valid.
auto IsReadByEvhttp(std::string_view target) -> bool {
  constexpr std::string_view kAuthorityPrefix = "//";
  if (target.substr(0, kAuthorityPrefix.size()) != kAuthorityPrefix) {
    return true;
  }
  const std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)> parsed(
      evhttp_uri_parse_with_flags(std::string(target).c_str(),
                                  EVHTTP_URI_NONCONFORMANT),
      &evhttp_uri_free);
  return parsed != nullptr;
}

}  // namespace

RequestScanner::RequestScanner(Limits limits,
                               HeadCheck check,
                               ChunkCheck check_chunk,
                               Sink sink)
    : limits_(limits),
      check_(std::move(check)),
      check_chunk_(std::move(check_chunk)),
      sink_(std::move(sink)) {}

auto RequestScanner::Consume(std::string_view bytes)
    -> std::optional<ErrorKind> {
  while (!bytes.empty() && !violation_) {
    ConsumeRequest(bytes);
  }
  return violation_;
}

auto RequestScanner::ConsumeRequest(std::string_view& bytes)
    -> std::optional<ErrorKind> {
  const auto before = completed_;
  while (!bytes.empty() && !violation_ && completed_ == before) {
    in_request_ = true;
    ConsumePart(bytes);
  }
  return violation_;
}

auto RequestScanner::ConsumePart(std::string_view& bytes) -> void {
  if (part_ == ScanPart::kBody || part_ == ScanPart::kChunkData) {
    SkipBody(bytes);
    return;
  }
  if (ReadLine(bytes)) {
    const auto line = std::move(line_);
    line_.clear();
    OnLine(std::string_view(line).substr(0, line.size() - 2));
  }
}

auto RequestScanner::SkipBody(std::string_view& bytes) -> void {
  const auto taken =
      std::min<std::uint64_t>(remaining_body_bytes_, bytes.size());
  if (sink_.on_body) {
    sink_.on_body(bytes.substr(0, taken));
  }
  bytes.remove_prefix(taken);
  remaining_body_bytes_ -= taken;
  if (remaining_body_bytes_ > 0) {
    return;
  }
  if (part_ == ScanPart::kBody) {
    OnRequestEnd();
    return;
  }
  part_ = ScanPart::kChunkEnd;
}

auto RequestScanner::ReadLine(std::string_view& bytes) -> bool {
  const bool in_head =
      part_ == ScanPart::kRequestLine || part_ == ScanPart::kHeaders;
  const auto limit = in_head ? limits_.head_bytes - head_bytes_ : kMaxChunkLine;
  const auto newline = bytes.find('\n');
  const bool whole = newline != std::string_view::npos;
  const auto taken = whole ? newline + 1 : bytes.size();
  if (line_.size() + taken > limit) {
    SetViolation(in_head ? ErrorKind::kRequestTooLarge
                         : ErrorKind::kMalformedRequest);
    return false;
  }
  line_.append(bytes.substr(0, taken));
  bytes.remove_prefix(taken);
  if (!whole) {
    return false;
  }
  if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
    SetViolation(ErrorKind::kMalformedRequest);
    return false;
  }
  if (in_head) {
    head_bytes_ += line_.size();
  }
  return true;
}

auto RequestScanner::OnLine(std::string_view line) -> void {
  switch (part_) {
    case ScanPart::kRequestLine:
      OnRequestLine(line);
      return;
    case ScanPart::kHeaders:
      if (line.empty()) {
        OnHeadEnd();
        return;
      }
      OnHeader(line);
      return;
    case ScanPart::kChunkSize:
      OnChunkSize(line);
      return;
    case ScanPart::kChunkEnd:
      if (!line.empty()) {
        SetViolation(ErrorKind::kMalformedRequest);
        return;
      }
      part_ = ScanPart::kChunkSize;
      return;
    case ScanPart::kLastChunk:
      // evhttp would merge trailers into the headers, which are already
      // checked.
      if (!line.empty()) {
        SetViolation(ErrorKind::kMalformedRequest);
        return;
      }
      OnRequestEnd();
      return;
    case ScanPart::kBody:
    case ScanPart::kChunkData:
      return;
  }
}

auto RequestScanner::OnRequestLine(std::string_view line) -> void {
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    SetViolation(ErrorKind::kMalformedRequest);
    return;
  }
  const auto method = line.substr(0, first);
  const auto target = line.substr(first + 1, last - first - 1);
  if (FindMethod(method) == nullptr || !IsOriginForm(target) ||
      !IsReadByEvhttp(target) || line.substr(last + 1) != kVersion) {
    SetViolation(ErrorKind::kMalformedRequest);
    return;
  }
  head_.method = method;
  head_.target = target;
  part_ = ScanPart::kHeaders;
  if (sink_.on_head_line) {
    sink_.on_head_line(line);
  }
}

auto RequestScanner::OnHeader(std::string_view line) -> void {
  const auto colon = line.find(':');
  // This also rejects folded lines: they start with a space, so the text before
  // the colon is not a token.
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) ||
      !IsHeaderValue(line.substr(colon + 1))) {
    SetViolation(ErrorKind::kMalformedRequest);
    return;
  }
  ++head_.fields;
  if (sink_.on_head_line) {
    sink_.on_head_line(line);
  }
  const auto name = ToLower(line.substr(0, colon));
  if (!IsSingletonHeader(name)) {
    return;
  }
  if (!seen_singletons_.insert(name).second) {
    SetViolation(ErrorKind::kConflictingHeaders);
    return;
  }
  OnFramingHeader(name, TrimSpace(line.substr(colon + 1)));
}

auto RequestScanner::OnFramingHeader(std::string_view name,
                                     std::string_view value) -> void {
  if (name == "content-length") {
    head_.content_length = ParseDecimal(value);
    if (!head_.content_length) {
      SetViolation(ErrorKind::kMalformedRequest);
    }
    return;
  }
  if (name == "transfer-encoding") {
    head_.chunked = true;
    if (!EqualsIgnoringCase(value, "chunked")) {
      SetViolation(ErrorKind::kMalformedRequest);
    }
  }
}

auto RequestScanner::OnHeadEnd() -> void {
  if (head_.chunked && head_.content_length) {
    SetViolation(ErrorKind::kConflictingHeaders);
    return;
  }
  if (!seen_singletons_.contains("host")) {
    SetViolation(ErrorKind::kMalformedRequest);
    return;
  }
  const bool has_body = head_.chunked || head_.content_length.value_or(0) > 0;
  if (has_body && !FindMethod(head_.method)->may_have_body) {
    SetViolation(ErrorKind::kUnexpectedBody);
    return;
  }
  head_.bytes = head_bytes_;
  const auto checked = check_(head_);
  if (const auto* kind = std::get_if<ErrorKind>(&checked)) {
    SetViolation(*kind);
    return;
  }
  remaining_allowance_ = std::get<BodyAllowance>(checked).max_bytes;
  if (head_.chunked) {
    part_ = ScanPart::kChunkSize;
    return;
  }
  remaining_body_bytes_ = head_.content_length.value_or(0);
  if (remaining_body_bytes_ > remaining_allowance_) {
    SetViolation(ErrorKind::kRequestTooLarge);
    return;
  }
  if (remaining_body_bytes_ == 0) {
    OnRequestEnd();
    return;
  }
  part_ = ScanPart::kBody;
}

auto RequestScanner::OnChunkSize(std::string_view line) -> void {
  const auto size = ParseHex(line);
  if (!size) {
    SetViolation(ErrorKind::kMalformedRequest);
    return;
  }
  if (*size > remaining_allowance_) {
    SetViolation(ErrorKind::kRequestTooLarge);
    return;
  }
  if (check_chunk_) {
    if (const auto kind = check_chunk_(*size)) {
      SetViolation(*kind);
      return;
    }
  }
  remaining_allowance_ -= *size;
  remaining_body_bytes_ = *size;
  part_ = *size == 0 ? ScanPart::kLastChunk : ScanPart::kChunkData;
}

auto RequestScanner::OnRequestEnd() -> void {
  part_ = ScanPart::kRequestLine;
  head_ = {};
  head_bytes_ = 0;
  seen_singletons_.clear();
  in_request_ = false;
  ++completed_;
}

auto RequestScanner::SetViolation(ErrorKind kind) -> void {
  if (!violation_) {
    violation_ = kind;
  }
}

}  // namespace flamingoyoke
