#ifndef FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_STATUS_SCANNER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_STATUS_SCANNER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingoyoke {

// Checks the raw status lines of the answer to one request, up to that of the
// final answer. evhttp reads the status as any number: it takes "0200" for 200
// and passes on 600. Not thread-safe.
class AnswerStatusScanner {
 public:
  // Scans the next bytes. Returns false once a status line is not that of an
  // HTTP/1 answer with exactly three digits from 100 to 599.
  auto Consume(std::string_view bytes) -> bool;

  // Whether the status line of the final answer was read and is valid.
  [[nodiscard]] auto is_done() const -> bool { return part_ == Part::kDone; }

 private:
  // What the scanner reads.
  enum class Part { kStatusLine, kInterimHead, kDone, kInvalid };

  auto ConsumeStatusLine(char next) -> void;
  auto ConsumeInterimHead(char next) -> void;

  Part part_ = Part::kStatusLine;
  // The status line, up to the byte after its status.
  std::string line_;
  // Bytes of the current line of an interim answer, without CR.
  std::size_t line_bytes_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_STATUS_SCANNER_H_
