#ifndef FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_SCANNER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_SCANNER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/error_kind.h"
#include "core/name_table.h"

namespace flamingoyoke {

// What a request's head says about its framing.
struct ScannedHead {
  std::string method;
  // Request target in origin form, as received.
  std::string target;
  // Not set for a request without a body or with a chunked one.
  std::optional<std::uint64_t> content_length;
  bool chunked = false;
};

// How many bytes the body of a request may have.
struct BodyAllowance {
  std::uint64_t max_bytes = 0;
};

// Part of a request that a scanner waits for.
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

// Follows the raw bytes of one caller connection beside evhttp, which accepts
// requests that two parsers may read differently (bare LF, folded headers,
// spaces before a colon, signs in a Content-Length, trailers that override
// headers). Everything but the strict HTTP/1.1 grammar is refused. Not
// thread-safe.
class RequestScanner {
 public:
  struct Limits {
    std::size_t head_bytes = 32 << 10;
    std::size_t headers = 100;
  };
  // Decides about a request as soon as its head is whole.
  using HeadCheck =
      std::function<std::variant<BodyAllowance, ErrorKind>(const ScannedHead&)>;

  RequestScanner(Limits limits, HeadCheck check);

  // Takes the next bytes. Returns the first violation, again for every later
  // call; nothing after it is looked at.
  auto Consume(std::string_view bytes) -> std::optional<ErrorKind>;

  // Number of requests that were received whole.
  [[nodiscard]] auto completed() const -> std::uint64_t { return completed_; }
  // Whether a request has begun and is not whole yet.
  [[nodiscard]] auto in_request() const -> bool { return in_request_; }
  [[nodiscard]] auto violation() const -> std::optional<ErrorKind> {
    return violation_;
  }

 private:
  // Takes a part of `bytes`, at least one byte, and removes it.
  auto ConsumePart(std::string_view& bytes) -> void;
  auto SkipBody(std::string_view& bytes) -> void;
  // Adds bytes up to the line's end; returns whether the line is whole.
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
  ScanPart part_ = ScanPart::kRequestLine;
  std::string line_;
  std::size_t head_bytes_ = 0;
  ScannedHead head_;
  // Lower-case names of headers that may occur only once.
  std::vector<std::string> seen_singletons_;
  std::size_t header_count_ = 0;
  // Bytes of the body or chunk still to come.
  std::uint64_t remaining_body_bytes_ = 0;
  std::uint64_t remaining_allowance_ = 0;
  std::uint64_t completed_ = 0;
  bool in_request_ = false;
  std::optional<ErrorKind> violation_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_SCANNER_H_
