#include "node/traffic/answer_scanner.h"

#include <algorithm>
#include <cstddef>

#include "node/traffic/http_text.h"

namespace flamingoyoke {
namespace {

// '#' stands for any digit. A space or the end of the line follows.
constexpr std::string_view kStart = "HTTP/1.# ###";
constexpr std::size_t kFirstDigit = 9;
constexpr std::string_view kNoContent = "204";
constexpr std::string_view kNotModified = "304";
// As long as the longest head that evhttp takes.
constexpr std::size_t kMaxLineBytes = 64 << 10;
// Memory of a field besides its text: an entry of evhttp with two allocations,
// and two copies of it for the caller.
constexpr std::size_t kBytesPerField = 256;

auto IsDigit(char c) -> bool {
  return c >= '0' && c <= '9';
}

// Whether `text` may be the start of a valid status line.
auto MayBeStatusLine(std::string_view text) -> bool {
  for (std::size_t i = 0; i < std::min(text.size(), kStart.size()); ++i) {
    const char expected = kStart[i];
    const bool is_valid =
        expected == '#' ? IsDigit(text[i]) : text[i] == expected;
    if (!is_valid) {
      return false;
    }
  }
  return text.size() <= kFirstDigit ||
         (text[kFirstDigit] >= '1' && text[kFirstDigit] <= '5');
}

}  // namespace

auto AnswerScanner::Consume(std::string_view bytes) -> bool {
  while (!bytes.empty() && part_ != AnswerPart::kDone &&
         part_ != AnswerPart::kInvalid) {
    ConsumePart(bytes);
  }
  return part_ != AnswerPart::kInvalid;
}

auto AnswerScanner::ConsumePart(std::string_view& bytes) -> void {
  if (part_ == AnswerPart::kChunkData) {
    const auto taken =
        std::min<std::uint64_t>(remaining_chunk_bytes_, bytes.size());
    bytes.remove_prefix(taken);
    remaining_chunk_bytes_ -= taken;
    part_ = remaining_chunk_bytes_ == 0 ? AnswerPart::kChunkEnd : part_;
    return;
  }
  const auto newline = bytes.find('\n');
  const bool is_whole = newline != std::string_view::npos;
  const auto added = bytes.substr(0, newline);
  bytes.remove_prefix(added.size() + (is_whole ? 1 : 0));
  line_.append(added);
  // The status is checked before its line is complete: what is no answer may
  // never have the end of a line.
  if (line_.size() > kMaxLineBytes ||
      (part_ == AnswerPart::kStatusLine && !MayBeStatusLine(line_))) {
    part_ = AnswerPart::kInvalid;
    return;
  }
  if (is_whole) {
    std::string_view line = line_;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    OnLine(line);
    line_.clear();
  }
}

auto AnswerScanner::OnLine(std::string_view line) -> void {
  switch (part_) {
    case AnswerPart::kStatusLine:
      OnStatusLine(line);
      return;
    case AnswerPart::kInterimFields:
    case AnswerPart::kFields:
    case AnswerPart::kTrailers:
      if (line.empty()) {
        field_bytes_ = part_ == AnswerPart::kInterimFields ? 0 : field_bytes_;
        part_ = PartAfterFields();
      } else {
        field_bytes_ += line.size() + kBytesPerField;
        OnField(line);
      }
      return;
    case AnswerPart::kChunkSize:
      OnChunkSize(line);
      return;
    case AnswerPart::kChunkEnd:
      part_ = line.empty() ? AnswerPart::kChunkSize : AnswerPart::kInvalid;
      return;
    case AnswerPart::kChunkData:
    case AnswerPart::kDone:
    case AnswerPart::kInvalid:
      return;
  }
}

auto AnswerScanner::OnStatusLine(std::string_view line) -> void {
  const auto reason = line.substr(std::min(line.size(), kStart.size()));
  if (line.size() < kStart.size() ||
      (!reason.empty() && reason.front() != ' ') || !IsHeaderValue(reason)) {
    part_ = AnswerPart::kInvalid;
    return;
  }
  const auto status = line.substr(kFirstDigit, kNoContent.size());
  may_have_body_ =
      may_have_body_ && status != kNoContent && status != kNotModified;
  part_ =
      status.front() == '1' ? AnswerPart::kInterimFields : AnswerPart::kFields;
}

auto AnswerScanner::OnField(std::string_view line) -> void {
  if (line.front() == ' ' || line.front() == '\t') {
    if (!may_fold_ || !IsHeaderValue(line)) {
      part_ = AnswerPart::kInvalid;
    }
    return;
  }
  const auto name = line.substr(0, line.find(':'));
  if (name.size() == line.size() || !IsToken(name) ||
      !IsHeaderValue(line.substr(name.size() + 1))) {
    part_ = AnswerPart::kInvalid;
    return;
  }
  const bool is_coding = EqualsIgnoringCase(name, "Transfer-Encoding");
  may_fold_ = !is_coding && !EqualsIgnoringCase(name, "Content-Length");
  is_chunked_ = is_chunked_ || (is_coding && part_ == AnswerPart::kFields);
}

auto AnswerScanner::PartAfterFields() const -> AnswerPart {
  if (part_ == AnswerPart::kInterimFields) {
    return AnswerPart::kStatusLine;
  }
  return part_ == AnswerPart::kFields && is_chunked_ && may_have_body_
             ? AnswerPart::kChunkSize
             : AnswerPart::kDone;
}

auto AnswerScanner::OnChunkSize(std::string_view line) -> void {
  const auto size = ParseHex(line.substr(0, line.find_first_of(" \t;")));
  if (!size) {
    part_ = AnswerPart::kInvalid;
    return;
  }
  remaining_chunk_bytes_ = *size;
  may_fold_ = false;
  part_ = *size == 0 ? AnswerPart::kTrailers : AnswerPart::kChunkData;
}

}  // namespace flamingoyoke
