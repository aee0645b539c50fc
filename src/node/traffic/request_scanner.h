#ifndef FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_SCANNER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_SCANNER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <variant>

#include "core/error_kind.h"
#include "core/name_table.h"

namespace flamingoyoke {

// Request line and body framing of a request head.
struct ScannedHead {
  std::string method;
  // Request target in origin form, as received.
  std::string target;
  // Not set without a Content-Length header.
  std::optional<std::uint64_t> content_length;
  bool chunked = false;
  // Size of the head in bytes and number of its header fields.
  std::size_t bytes = 0;
  std::size_t fields = 0;
};

// Maximum size of a request body.
struct BodyAllowance {
  std::uint64_t max_bytes = 0;
};

// Part of a request that the scanner expects next.
enum class ScanPart {
  kRequestLine,
  kHeaders,
  kBody,
  kChunkSize,
  kChunkData,
  kChunkEnd,
  kLastChunk,
};

template <>
struct EnumNames<ScanPart> {
  static constexpr auto kTable = std::to_array<NameEntry<ScanPart>>({
      {ScanPart::kRequestLine, "request-line"},
      {ScanPart::kHeaders, "headers"},
      {ScanPart::kBody, "body"},
      {ScanPart::kChunkSize, "chunk-size"},
      {ScanPart::kChunkData, "chunk-data"},
      {ScanPart::kChunkEnd, "chunk-end"},
      {ScanPart::kLastChunk, "last-chunk"},
  });
};
static_assert(IsDense<ScanPart>());

// Validates the raw input of one caller connection before evhttp parses it, to
// prevent request smuggling: evhttp accepts input that other parsers interpret
// differently (bare LF, folded headers, spaces before a colon, signs in a
// Content-Length, trailers that override headers). Everything outside the
// strict HTTP/1.1 grammar is a violation. Not thread-safe.
class RequestScanner {
 public:
  struct Limits {
    std::size_t head_bytes = 32 << 10;
  };
  // Receives the parts of valid requests; both functions may be empty.
  struct Sink {
    // The request line and each header field, without the end of the line.
    std::function<void(std::string_view line)> on_head_line;
    // A part of the body, without the framing of chunks.
    std::function<void(std::string_view bytes)> on_body;
  };
  // Accepts or refuses a request when its head is complete.
  using HeadCheck =
      std::function<std::variant<BodyAllowance, ErrorKind>(const ScannedHead&)>;
  // Accepts or refuses the next chunk of a body by its size in bytes.
  using ChunkCheck =
      std::function<std::optional<ErrorKind>(std::uint64_t bytes)>;

  // Without `check_chunk`, chunks are limited by the allowance only.
  RequestScanner(Limits limits,
                 HeadCheck check,
                 ChunkCheck check_chunk = {},
                 Sink sink = {});

  // Scans the next bytes. After the first violation, input is ignored and every
  // call returns that violation.
  auto Consume(std::string_view bytes) -> std::optional<ErrorKind>;

  // Scans the next bytes up to the end of a request at most, and removes them
  // from the front of `bytes`. Returns the first violation.
  auto ConsumeRequest(std::string_view& bytes) -> std::optional<ErrorKind>;

  // Number of requests that were received completely.
  [[nodiscard]] auto completed() const -> std::uint64_t { return completed_; }
  // Whether a request was received in part.
  [[nodiscard]] auto in_request() const -> bool { return in_request_; }
  [[nodiscard]] auto violation() const -> std::optional<ErrorKind> {
    return violation_;
  }
  // Whether the head of a request was received, and its body only in part.
  [[nodiscard]] auto in_body() const -> bool {
    return in_request_ && part_ != ScanPart::kRequestLine &&
           part_ != ScanPart::kHeaders;
  }
  // Bytes of the line that is not complete.
  [[nodiscard]] auto held_bytes() const -> std::size_t {
    return line_.capacity();
  }

 private:
  // Consumes at least one byte from the front of `bytes`.
  auto ConsumePart(std::string_view& bytes) -> void;
  auto SkipBody(std::string_view& bytes) -> void;
  // Appends bytes up to the next LF to `line_`. Returns whether the line is
  // complete.
  auto ReadLine(std::string_view& bytes) -> bool;
  auto OnLine(std::string_view line) -> void;
  auto OnRequestLine(std::string_view line) -> void;
  auto OnHeader(std::string_view line) -> void;
  auto OnFramingHeader(std::string_view name, std::string_view value) -> void;
  auto OnHeadEnd() -> void;
  auto OnChunkSize(std::string_view line) -> void;
  auto OnRequestEnd() -> void;
  auto SetViolation(ErrorKind kind) -> void;

  const Limits limits_;
  const HeadCheck check_;
  const ChunkCheck check_chunk_;
  const Sink sink_;
  ScanPart part_ = ScanPart::kRequestLine;
  std::string line_;
  std::size_t head_bytes_ = 0;
  ScannedHead head_;
  // Names, in lower case, of the received headers that must not be repeated.
  std::unordered_set<std::string> seen_singletons_;
  // Bytes of the body or chunk that were not received yet.
  std::uint64_t remaining_body_bytes_ = 0;
  std::uint64_t remaining_allowance_ = 0;
  std::uint64_t completed_ = 0;
  bool in_request_ = false;
  std::optional<ErrorKind> violation_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_SCANNER_H_
