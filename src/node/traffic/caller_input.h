#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CALLER_INPUT_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CALLER_INPUT_H_

#include <event2/buffer.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/error_kind.h"
#include "node/traffic/http_message.h"
#include "node/traffic/request_scanner.h"

namespace flamingoyoke {

// Assembles the requests of one caller connection, one at a time. Bytes are
// copied into few large buffers: evhttp keeps at least a kilobyte for each
// piece of a body that arrives alone, and about 110 bytes for each header
// field. Not thread-safe.
class CallerInput {
 public:
  CallerInput(const RequestScanner::Limits& limits,
              RequestScanner::HeadCheck check_head,
              RequestScanner::ChunkCheck check_chunk);

  // Takes all bytes out of `input`.
  auto Append(evbuffer* input) -> void;

  // Reads the next request as far as it was received. Returns whether it is
  // complete; then TakeHead() and TakeBody() must be called before the next
  // call. Returns false after a violation.
  auto ReadRequest() -> bool;

  // Returns the head of the complete request. It says that there is no body,
  // and nothing about chunks or `Expect`.
  auto TakeHead() -> std::string;
  auto TakeBody() -> EvbufferPtr;

  // Whether the caller waits for "100 Continue". Returns true at most once for
  // each request.
  auto TakeContinue() -> bool;

  // Drops all that is held. Nothing more can be read.
  auto Drop() -> void;

  [[nodiscard]] auto violation() const -> std::optional<ErrorKind> {
    return scanner_.violation();
  }
  // Whether a request was received in part, or bytes were not read yet.
  [[nodiscard]] auto receiving() const -> bool {
    return scanner_.in_request() || unread_bytes() > 0;
  }
  // Whether the head of a request was received, and its body only in part.
  [[nodiscard]] auto in_body() const -> bool { return scanner_.in_body(); }
  [[nodiscard]] auto unread_bytes() const -> std::size_t {
    return received_.size() - read_;
  }
  // Memory held for the unread bytes and the head of the request.
  [[nodiscard]] auto held_bytes() const -> std::size_t;

 private:
  auto OnHeadLine(std::string_view line) -> void;

  RequestScanner scanner_;
  // Received bytes, of which the first `read_` were read.
  std::string received_;
  std::size_t read_ = 0;
  std::string head_;
  EvbufferPtr body_;
  // Whether framing headers were left out of `head_`.
  bool has_framing_ = false;
  bool expects_continue_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_INPUT_H_
