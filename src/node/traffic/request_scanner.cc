#include "node/traffic/request_scanner.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"
#include "node/traffic/http_text.h"

namespace flamingoyoke {
namespace {

// Methods that evhttp passes on with their body.
constexpr auto kMethods = std::to_array<std::string_view>(
    {"GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"});
constexpr std::string_view kVersion = "HTTP/1.1";
constexpr std::string_view kOwnHeaderPrefix = "flamingoyoke-";
// A chunk size of 15 digits with its line end; evhttp knows no extensions.
constexpr std::size_t kMaxChunkLine = 17;

// Headers whose second copy another parser may prefer to the first.
auto MayOccurOnce(std::string_view lower_name) -> bool {
  return lower_name == "host" || lower_name == "content-length" ||
         lower_name == "transfer-encoding" || lower_name == "traceparent" ||
         lower_name.substr(0, kOwnHeaderPrefix.size()) == kOwnHeaderPrefix;
}

auto IsOriginForm(std::string_view target) -> bool {
  return !target.empty() && target.front() == '/' &&
         std::all_of(target.begin(), target.end(),
                     [](char c) { return c > ' ' && c < 0x7f && c != '#'; });
}

}  // namespace

RequestScanner::RequestScanner(Limits limits, HeadCheck check)
    : limits_(limits), check_(std::move(check)) {}

auto RequestScanner::Consume(std::string_view bytes)
    -> std::optional<ErrorKind> {
  while (!bytes.empty() && !violation_) {
    in_request_ = true;
    Step(bytes);
  }
  return violation_;
}

auto RequestScanner::Step(std::string_view& bytes) -> void {
  if (part_ == ScanPart::kBody || part_ == ScanPart::kChunkData) {
    SkipBody(bytes);
    return;
  }
  if (FillLine(bytes)) {
    const auto line = std::move(line_);
    line_.clear();
    OnLine(std::string_view(line).substr(0, line.size() - 2));
  }
}

auto RequestScanner::SkipBody(std::string_view& bytes) -> void {
  const auto taken = std::min<std::uint64_t>(body_left_, bytes.size());
  bytes.remove_prefix(taken);
  body_left_ -= taken;
  if (body_left_ > 0) {
    return;
  }
  if (part_ == ScanPart::kBody) {
    OnRequestEnd();
    return;
  }
  part_ = ScanPart::kChunkEnd;
}

auto RequestScanner::FillLine(std::string_view& bytes) -> bool {
  const bool in_head =
      part_ == ScanPart::kRequestLine || part_ == ScanPart::kHeaders;
  const auto limit = in_head ? limits_.head_bytes - head_bytes_ : kMaxChunkLine;
  const auto newline = bytes.find('\n');
  const bool whole = newline != std::string_view::npos;
  const auto taken = whole ? newline + 1 : bytes.size();
  if (line_.size() + taken > limit) {
    Violate(in_head ? ErrorKind::kRequestTooLarge
                    : ErrorKind::kMalformedRequest);
    return false;
  }
  line_.append(bytes.substr(0, taken));
  bytes.remove_prefix(taken);
  if (!whole) {
    return false;
  }
  if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
    Violate(ErrorKind::kMalformedRequest);
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
        Violate(ErrorKind::kMalformedRequest);
        return;
      }
      part_ = ScanPart::kChunkSize;
      return;
    case ScanPart::kLastChunk:
      // evhttp merges trailers into the headers that were checked before.
      if (!line.empty()) {
        Violate(ErrorKind::kMalformedRequest);
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
    Violate(ErrorKind::kMalformedRequest);
    return;
  }
  const auto method = line.substr(0, first);
  const auto target = line.substr(first + 1, last - first - 1);
  const bool known =
      std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
  if (!known || !IsOriginForm(target) || line.substr(last + 1) != kVersion) {
    Violate(ErrorKind::kMalformedRequest);
    return;
  }
  head_.method = method;
  head_.target = target;
  part_ = ScanPart::kHeaders;
}

auto RequestScanner::OnHeader(std::string_view line) -> void {
  const auto colon = line.find(':');
  // A folded line begins with a space, so its "name" is no token.
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) ||
      !IsHeaderValue(line.substr(colon + 1)) ||
      ++header_count_ > limits_.headers) {
    Violate(ErrorKind::kMalformedRequest);
    return;
  }
  auto name = ToLower(line.substr(0, colon));
  if (!MayOccurOnce(name)) {
    return;
  }
  const bool repeated =
      std::find(single_headers_.begin(), single_headers_.end(), name) !=
      single_headers_.end();
  if (repeated) {
    Violate(ErrorKind::kConflictingHeaders);
    return;
  }
  OnFramingHeader(name, TrimSpace(line.substr(colon + 1)));
  single_headers_.push_back(std::move(name));
}

auto RequestScanner::OnFramingHeader(std::string_view name,
                                     std::string_view value) -> void {
  if (name == "content-length") {
    head_.content_length = ParseDecimal(value);
    if (!head_.content_length) {
      Violate(ErrorKind::kMalformedRequest);
    }
    return;
  }
  if (name == "transfer-encoding") {
    head_.chunked = true;
    if (!EqualsIgnoringCase(value, "chunked")) {
      Violate(ErrorKind::kMalformedRequest);
    }
  }
}

auto RequestScanner::OnHeadEnd() -> void {
  if (head_.chunked && head_.content_length) {
    Violate(ErrorKind::kConflictingHeaders);
    return;
  }
  if (std::find(single_headers_.begin(), single_headers_.end(), "host") ==
      single_headers_.end()) {
    Violate(ErrorKind::kMalformedRequest);
    return;
  }
  const auto checked = check_(head_);
  if (const auto* kind = std::get_if<ErrorKind>(&checked)) {
    Violate(*kind);
    return;
  }
  allowance_left_ = std::get<BodyAllowance>(checked).max_bytes;
  if (head_.chunked) {
    part_ = ScanPart::kChunkSize;
    return;
  }
  body_left_ = head_.content_length.value_or(0);
  if (body_left_ > allowance_left_) {
    Violate(ErrorKind::kRequestTooLarge);
    return;
  }
  if (body_left_ == 0) {
    OnRequestEnd();
    return;
  }
  part_ = ScanPart::kBody;
}

auto RequestScanner::OnChunkSize(std::string_view line) -> void {
  const auto size = ParseHex(line);
  if (!size) {
    Violate(ErrorKind::kMalformedRequest);
    return;
  }
  if (*size > allowance_left_) {
    Violate(ErrorKind::kRequestTooLarge);
    return;
  }
  allowance_left_ -= *size;
  body_left_ = *size;
  part_ = *size == 0 ? ScanPart::kLastChunk : ScanPart::kChunkData;
}

auto RequestScanner::OnRequestEnd() -> void {
  part_ = ScanPart::kRequestLine;
  head_ = {};
  head_bytes_ = 0;
  single_headers_.clear();
  header_count_ = 0;
  in_request_ = false;
  ++completed_;
}

auto RequestScanner::Violate(ErrorKind kind) -> void {
  if (!violation_) {
    violation_ = kind;
  }
}

}  // namespace flamingoyoke
