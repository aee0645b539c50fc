#ifndef FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_SCANNER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_SCANNER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/name_table.h"

namespace flamingoyoke {

// Part of an answer that the scanner expects next. Nothing is left to check in
// kDone and kInvalid.
enum class AnswerPart {
  kStatusLine,
  kInterimFields,
  kFields,
  kChunkSize,
  kChunkData,
  kChunkEnd,
  kTrailers,
  kDone,
  kInvalid,
};

template <>
struct EnumNames<AnswerPart> {
  static constexpr auto kTable = std::to_array<NameEntry<AnswerPart>>({
      {AnswerPart::kStatusLine, "status-line"},
      {AnswerPart::kInterimFields, "interim-fields"},
      {AnswerPart::kFields, "fields"},
      {AnswerPart::kChunkSize, "chunk-size"},
      {AnswerPart::kChunkData, "chunk-data"},
      {AnswerPart::kChunkEnd, "chunk-end"},
      {AnswerPart::kTrailers, "trailers"},
      {AnswerPart::kDone, "done"},
      {AnswerPart::kInvalid, "invalid"},
  });
};
static_assert(IsDense<AnswerPart>());

// Checks the raw answer to one request before evhttp parses it: the heads up to
// that of the final answer, and the framing of chunks. evhttp takes status
// "0200" for 200 and chunk size "0x5" for 5, ends a line at a NUL, and passes
// on status 600 and names that end with a space. Not thread-safe.
class AnswerScanner {
 public:
  // `may_have_body` tells whether the request asks for a body, as all do except
  // HEAD.
  explicit AnswerScanner(bool may_have_body = true)
      : may_have_body_(may_have_body) {}

  // Scans the next bytes. Returns false once they are not those of an HTTP/1
  // answer with exactly three digits from 100 to 599 as its status.
  auto Consume(std::string_view bytes) -> bool;

  // Memory that the scanner takes, and that evhttp and copies of the head take
  // for the fields so far. It is many times the size of short fields.
  [[nodiscard]] auto held_bytes() const -> std::size_t {
    return line_.capacity() + field_bytes_;
  }

  // Whether the rest of the answer needs no check.
  [[nodiscard]] auto is_done() const -> bool {
    return part_ == AnswerPart::kDone;
  }

 private:
  // Consumes at least one byte from the front of `bytes`.
  auto ConsumePart(std::string_view& bytes) -> void;
  auto OnLine(std::string_view line) -> void;
  auto OnStatusLine(std::string_view line) -> void;
  auto OnField(std::string_view line) -> void;
  // Part that follows an empty line in a head or in trailers.
  [[nodiscard]] auto PartAfterFields() const -> AnswerPart;
  auto OnChunkSize(std::string_view line) -> void;

  bool may_have_body_;
  AnswerPart part_ = AnswerPart::kStatusLine;
  // The start of a line that is not complete.
  std::string line_;
  // Fields of the head and of the trailer, without those of interim responses
  // that are complete.
  std::size_t field_bytes_ = 0;
  bool is_chunked_ = false;
  // Whether the next line may continue the field of the last one, which must
  // not be one that frames the answer.
  bool may_fold_ = false;
  // Bytes of the chunk that were not received yet.
  std::uint64_t remaining_chunk_bytes_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_ANSWER_SCANNER_H_
