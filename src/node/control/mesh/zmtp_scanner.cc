#include "node/control/mesh/zmtp_scanner.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {
namespace {

// Layout of the greeting.
constexpr std::size_t kGreetingBytes = 64;
constexpr std::size_t kSignatureBytes = 10;
constexpr std::size_t kVersionPlace = 10;
constexpr std::size_t kMechanismPlace = 12;
constexpr std::size_t kMechanismBytes = 20;
constexpr unsigned char kSignatureStart = 0xff;
constexpr unsigned char kSignatureEnd = 0x7f;
constexpr unsigned char kMajorVersion = 3;
constexpr std::string_view kMechanism = "NULL";

// Flags of a frame.
constexpr unsigned char kMore = 0x01;
constexpr unsigned char kLong = 0x02;
constexpr unsigned char kCommand = 0x04;
constexpr unsigned char kKnownFlags = kMore | kLong | kCommand;

constexpr std::size_t kShortHeaderBytes = 2;
constexpr std::size_t kLongHeaderBytes = 9;

constexpr std::size_t kValueSizeBytes = 4;
constexpr std::size_t kTimeToLiveBytes = 2;
constexpr std::size_t kMaxPingContext = 16;
constexpr int kBitsPerByte = 8;

auto ByteAt(std::string_view bytes, std::size_t place) -> unsigned char {
  return static_cast<unsigned char>(bytes[place]);
}

// Moves bytes from the front of `input` until `bytes` has `size`. Returns
// whether it has.
auto Fill(std::string& bytes, std::size_t size, std::string_view& input)
    -> bool {
  const auto part = input.substr(0, size - bytes.size());
  bytes.append(part);
  input.remove_prefix(part.size());
  return bytes.size() == size;
}

// Removes the first `size` bytes of `bytes` and returns them; nothing if there
// are not as many.
auto Take(std::string_view& bytes, std::size_t size)
    -> std::optional<std::string_view> {
  if (bytes.size() < size) {
    return std::nullopt;
  }
  const auto taken = bytes.substr(0, size);
  bytes.remove_prefix(size);
  return taken;
}

auto ReadNumber(std::string_view bytes) -> std::uint64_t {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    number = number << kBitsPerByte | ByteAt(bytes, i);
  }
  return number;
}

// Removes a text that one byte with its size precedes.
auto TakeName(std::string_view& bytes) -> std::optional<std::string_view> {
  const auto size = Take(bytes, 1);
  return size ? Take(bytes, ByteAt(*size, 0)) : std::nullopt;
}

auto IsGreetingStart(std::string_view bytes) -> bool {
  if (ByteAt(bytes, 0) != kSignatureStart) {
    return false;
  }
  if (bytes.size() >= kSignatureBytes &&
      (ByteAt(bytes, kSignatureBytes - 1) & 1) == 0) {
    return false;
  }
  if (bytes.size() > kVersionPlace &&
      ByteAt(bytes, kVersionPlace) < kMajorVersion) {
    return false;
  }
  std::string mechanism(kMechanism);
  mechanism.resize(kMechanismBytes);
  return bytes.size() < kGreetingBytes ||
         bytes.substr(kMechanismPlace, kMechanismBytes) == mechanism;
}

// Whether the metadata of a READY command is well-formed and that of a DEALER.
auto IsFromDealer(std::string_view metadata) -> bool {
  bool is_dealer = false;
  while (!metadata.empty()) {
    const auto name = TakeName(metadata);
    const auto size = Take(metadata, kValueSizeBytes);
    const auto value = size ? Take(metadata, ReadNumber(*size)) : std::nullopt;
    if (!name || !value) {
      return false;
    }
    is_dealer = is_dealer || (*name == "Socket-Type" && *value == "DEALER");
  }
  return is_dealer;
}

// Precondition: `body` has at most 255 bytes.
auto MakeCommand(std::string_view body) -> std::string {
  std::string frame;
  frame.push_back(static_cast<char>(kCommand));
  frame.push_back(static_cast<char>(body.size()));
  return frame.append(body);
}

}  // namespace

auto ZmtpScanner::Scan(std::string_view& input) -> std::optional<ZmtpEvent> {
  while (true) {
    const auto before = state_.index();
    auto event =
        std::visit([&](auto& state) { return Read(state, input); }, state_);
    if (event || state_.index() == before) {
      return event;
    }
  }
}

auto ZmtpScanner::Greeting() -> std::string {
  std::string bytes(kGreetingBytes, '\0');
  bytes.front() = static_cast<char>(kSignatureStart);
  bytes[kSignatureBytes - 1] = static_cast<char>(kSignatureEnd);
  bytes[kVersionPlace] = static_cast<char>(kMajorVersion);
  bytes.replace(kMechanismPlace, kMechanism.size(), kMechanism);
  return bytes;
}

auto ZmtpScanner::ReadyCommand() -> std::string {
  std::string body = "\x05READY\x0bSocket-Type";
  body.append("\0\0\0\x06", kValueSizeBytes).append("ROUTER");
  return MakeCommand(body);
}

auto ZmtpScanner::PongCommand(std::string_view context) -> std::string {
  return MakeCommand(std::string("\x04PONG").append(context));
}

auto ZmtpScanner::Read(InGreeting& state, std::string_view& input)
    -> std::optional<ZmtpEvent> {
  const auto is_complete = Fill(state.bytes, kGreetingBytes, input);
  if (!state.bytes.empty() && !IsGreetingStart(state.bytes)) {
    return Refuse(ZmtpFault::kGreeting);
  }
  if (!is_complete) {
    return std::nullopt;
  }
  state_ = InHeader{};
  return ZmtpGreeted{};
}

auto ZmtpScanner::Read(InHeader& state, std::string_view& input)
    -> std::optional<ZmtpEvent> {
  if (!Fill(state.bytes, std::max<std::size_t>(state.bytes.size(), 1), input)) {
    return std::nullopt;
  }
  const auto flags = ByteAt(state.bytes, 0);
  const auto is_long = (flags & kLong) != 0;
  if (!Fill(state.bytes, is_long ? kLongHeaderBytes : kShortHeaderBytes,
            input)) {
    return std::nullopt;
  }
  return BeginFrame(flags, ReadNumber(std::string_view(state.bytes).substr(1)));
}

auto ZmtpScanner::Read(InBody& state, std::string_view& input)
    -> std::optional<ZmtpEvent> {
  state.bytes.reserve(state.size);
  if (!Fill(state.bytes, state.size, input)) {
    return std::nullopt;
  }
  const auto is_command = state.is_command;
  auto body = std::move(state.bytes);
  state_ = InHeader{};
  if (is_command) {
    return ReadCommand(body);
  }
  return ZmtpMessage{std::move(body)};
}

auto ZmtpScanner::Read(AfterFault&, std::string_view&)
    -> std::optional<ZmtpEvent> {
  return std::nullopt;
}

auto ZmtpScanner::BeginFrame(unsigned char flags, std::uint64_t size)
    -> std::optional<ZmtpEvent> {
  const auto is_command = (flags & kCommand) != 0;
  if ((flags & ~kKnownFlags) != 0 || (is_command && flags != kCommand)) {
    return Refuse(ZmtpFault::kFraming);
  }
  if (!is_ready_ && !is_command) {
    return Refuse(ZmtpFault::kHandshake);
  }
  if ((flags & kMore) != 0) {
    return Refuse(ZmtpFault::kParts);
  }
  if (!is_command && size > max_message_) {
    return Refuse(ZmtpFault::kSize);
  }
  state_ = InBody{.size = size, .is_command = is_command, .bytes = {}};
  if (is_command) {
    return std::nullopt;
  }
  return ZmtpMessageBegun{size};
}

auto ZmtpScanner::ReadCommand(std::string_view command)
    -> std::optional<ZmtpEvent> {
  const auto name = TakeName(command);
  if (!is_ready_) {
    if (name != "READY" || !IsFromDealer(command)) {
      return Refuse(ZmtpFault::kHandshake);
    }
    is_ready_ = true;
    return ZmtpHandshaken{};
  }
  if (!name) {
    return Refuse(ZmtpFault::kFraming);
  }
  if (name != "PING") {
    return std::nullopt;
  }
  if (!Take(command, kTimeToLiveBytes) || command.size() > kMaxPingContext) {
    return Refuse(ZmtpFault::kFraming);
  }
  return ZmtpPing{std::string(command)};
}

auto ZmtpScanner::Refuse(ZmtpFault fault) -> ZmtpEvent {
  state_ = AfterFault{};
  return ZmtpRefused{fault};
}

}  // namespace flamingoyoke
