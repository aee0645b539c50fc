#include "node/traffic/answer_status_scanner.h"

namespace flamingoyoke {
namespace {

// '#' stands for any digit. A space or the end of the line follows.
constexpr std::string_view kStart = "HTTP/1.# ###";
constexpr std::size_t kFirstDigit = 9;

auto IsDigit(char c) -> bool {
  return c >= '0' && c <= '9';
}

}  // namespace

auto AnswerStatusScanner::Consume(std::string_view bytes) -> bool {
  for (const char next : bytes) {
    if (part_ == Part::kStatusLine) {
      ConsumeStatusLine(next);
    } else if (part_ == Part::kInterimHead) {
      ConsumeInterimHead(next);
    } else {
      break;
    }
  }
  return part_ != Part::kInvalid;
}

auto AnswerStatusScanner::ConsumeStatusLine(char next) -> void {
  if (line_.size() < kStart.size()) {
    const char expected = kStart[line_.size()];
    const bool is_valid = expected == '#' ? IsDigit(next) : next == expected;
    part_ = is_valid ? part_ : Part::kInvalid;
    line_ += next;
    return;
  }
  const char first = line_[kFirstDigit];
  const bool is_end = next == ' ' || next == '\r' || next == '\n';
  if (!is_end || first < '1' || first > '5') {
    part_ = Part::kInvalid;
    return;
  }
  part_ = first == '1' ? Part::kInterimHead : Part::kDone;
  line_.clear();
  // The rest of the status line counts as a line of the head.
  line_bytes_ = 1;
  if (part_ == Part::kInterimHead) {
    ConsumeInterimHead(next);
  }
}

auto AnswerStatusScanner::ConsumeInterimHead(char next) -> void {
  if (next == '\n') {
    part_ = line_bytes_ == 0 ? Part::kStatusLine : part_;
    line_bytes_ = 0;
  } else if (next != '\r') {
    ++line_bytes_;
  }
}

}  // namespace flamingoyoke
