#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_ZMTP_SCANNER_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_ZMTP_SCANNER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/name_table.h"

namespace flamingoyoke {

// Why the input of a peer is refused.
enum class ZmtpFault {
  kGreeting,   // Not a greeting of ZMTP 3, or another mechanism than NULL.
  kHandshake,  // Not the READY command of a DEALER socket.
  kFraming,    // Reserved flags, or a malformed or too long command.
  kParts,      // A message of several parts.
  kSize,       // A message over the limit.
};

template <>
struct EnumNames<ZmtpFault> {
  static constexpr auto kTable = std::to_array<NameEntry<ZmtpFault>>({
      {ZmtpFault::kGreeting, "greeting"},
      {ZmtpFault::kHandshake, "handshake"},
      {ZmtpFault::kFraming, "framing"},
      {ZmtpFault::kParts, "parts"},
      {ZmtpFault::kSize, "size"},
  });
};
static_assert(IsDense<ZmtpFault>());

// What the scanner found in the input.

// The greeting is complete; the own READY command is due.
struct ZmtpGreeted {};
// The handshake is complete.
struct ZmtpHandshaken {};
// A message of `size` bytes begins, which the scanner will hold.
struct ZmtpMessageBegun {
  std::size_t size = 0;
};
// A message is complete.
struct ZmtpMessage {
  std::string body;
};
// The peer wants a PONG command with `context`.
struct ZmtpPing {
  std::string context;
};
// The input is refused; the connection should be closed.
struct ZmtpRefused {
  ZmtpFault fault = ZmtpFault::kGreeting;
};

using ZmtpEvent = std::variant<ZmtpGreeted,
                               ZmtpHandshaken,
                               ZmtpMessageBegun,
                               ZmtpMessage,
                               ZmtpPing,
                               ZmtpRefused>;

// Reads what a DEALER socket sends by ZMTP 3.0 with the mechanism NULL
// (rfc.zeromq.org/spec/23). It holds at most the message that it has reported
// as begun, and 255 bytes. Not thread-safe.
class ZmtpScanner {
 public:
  // `max_message` is the limit of a message in bytes.
  explicit ZmtpScanner(std::size_t max_message) : max_message_(max_message) {}

  // Removes what it has read from the front of `input`, up to the end of the
  // next event. Returns nothing once all input is read. After ZmtpRefused it
  // reads nothing.
  auto Scan(std::string_view& input) -> std::optional<ZmtpEvent>;

  // What the accepting side sends: first the greeting, then its READY command
  // as a ROUTER socket, and the answer to a ZmtpPing.
  static auto Greeting() -> std::string;
  static auto ReadyCommand() -> std::string;
  static auto PongCommand(std::string_view context) -> std::string;

 private:
  struct InGreeting {
    std::string bytes;
  };
  struct InHeader {
    std::string bytes;
  };
  struct InBody {
    std::size_t size = 0;
    bool is_command = false;
    std::string bytes;
  };
  struct AfterFault {};

  auto Read(InGreeting& state, std::string_view& input)
      -> std::optional<ZmtpEvent>;
  auto Read(InHeader& state, std::string_view& input)
      -> std::optional<ZmtpEvent>;
  auto Read(InBody& state, std::string_view& input) -> std::optional<ZmtpEvent>;
  auto Read(AfterFault& state, std::string_view& input)
      -> std::optional<ZmtpEvent>;
  // Reads a complete header of a frame.
  auto BeginFrame(unsigned char flags, std::uint64_t size)
      -> std::optional<ZmtpEvent>;
  auto ReadCommand(std::string_view command) -> std::optional<ZmtpEvent>;
  auto Refuse(ZmtpFault fault) -> ZmtpEvent;

  const std::size_t max_message_;
  bool is_ready_ = false;
  std::variant<InGreeting, InHeader, InBody, AfterFault> state_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_ZMTP_SCANNER_H_
