#include "node/control/mesh/zmtp_scanner.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "core/overloaded.h"
#include "unit/node/control/mesh/mesh_stranger.h"

namespace flamingoyoke {
namespace {

constexpr std::size_t kMaxMessage = 1000;

auto Describe(const ZmtpEvent& event) -> std::string {
  return std::visit(
      Overloaded{
          [](const ZmtpGreeted&) { return std::string("greeted "); },
          [](const ZmtpHandshaken&) { return std::string("ready "); },
          [](const ZmtpMessageBegun& begun) {
            return "begun:" + std::to_string(begun.size) + " ";
          },
          [](const ZmtpMessage& message) {
            return "message:" + message.body + " ";
          },
          [](const ZmtpPing& ping) { return "ping:" + ping.context + " "; },
          [](const ZmtpRefused& refused) {
            return "refused:" + std::string(ToName(refused.fault)) + " ";
          },
      },
      event);
}

auto ScanAll(ZmtpScanner& scanner, std::string_view input) -> std::string {
  std::string events;
  while (const auto event = scanner.Scan(input)) {
    events += Describe(*event);
  }
  return events;
}

// Scans `input` at once and byte by byte. The result must not depend on how the
// network splits it.
auto Scan(const std::string& input) -> std::string {
  ZmtpScanner whole(kMaxMessage);
  ZmtpScanner split(kMaxMessage);
  auto events = ScanAll(whole, input);
  std::string parts;
  for (const char c : input) {
    parts += ScanAll(split, std::string_view(&c, 1));
  }
  cr_assert_eq(parts, events, "splitting changes %s to %s", events.c_str(),
               parts.c_str());
  return events;
}

auto Handshake() -> std::string {
  return MeshStranger::Greeting() + MeshStranger::Ready();
}

auto ExpectEvents(const std::string& input, const std::string& events) -> void {
  const auto found = Scan(input);
  cr_expect_eq(found, events, "%s instead of %s", found.c_str(),
               events.c_str());
}

auto ExpectAfterHandshake(const std::string& input, const std::string& events)
    -> void {
  ExpectEvents(Handshake() + input, "greeted ready " + events);
}

auto LongHeader(std::uint64_t size, char flags = '\x02') -> std::string {
  std::string header(1, flags);
  for (int shift = 56; shift >= 0; shift -= 8) {
    header.push_back(static_cast<char>(size >> shift));
  }
  return header;
}

}  // namespace

// Guards against messages of ordinary peers that are refused or changed.
Test(zmtp_scanner, messages_are_passed_on) {
  ExpectAfterHandshake("", "");
  ExpectAfterHandshake(MeshStranger::Message("abc") + MeshStranger::Message(""),
                       "begun:3 message:abc begun:0 message: ");
  const std::string body(kMaxMessage, 'x');
  ExpectAfterHandshake(LongHeader(kMaxMessage) + body,
                       "begun:1000 message:" + body + " ");
  ExpectAfterHandshake(LongHeader(1) + "x", "begun:1 message:x ");
}

// Guards against a message that is held before the owner has made room for it.
Test(zmtp_scanner, nothing_is_read_behind_the_start_of_a_message) {
  ZmtpScanner scanner(kMaxMessage);
  const auto bytes = Handshake() + MeshStranger::Message("abc");
  std::string_view input = bytes;
  scanner.Scan(input);
  scanner.Scan(input);
  const auto begun = scanner.Scan(input);
  cr_assert(begun && std::holds_alternative<ZmtpMessageBegun>(*begun));
  cr_assert(input == "abc");
}

// Guards against strangers that speak something else.
Test(zmtp_scanner, other_greetings_are_refused) {
  ExpectEvents("GET / HTTP/1.1\r\n\r\n", "refused:greeting ");
  for (const std::size_t place : {0, 9, 10, 12, 16, 31}) {
    auto greeting = MeshStranger::Greeting();
    greeting[place] = '\x02';
    ExpectEvents(greeting, "refused:greeting ");
  }
  auto curve = MeshStranger::Greeting();
  curve.replace(12, 5, "CURVE");
  ExpectEvents(curve, "refused:greeting ");
}

// Guards against peers of later versions and of libzmq, which sets a length in
// the signature, that are refused.
Test(zmtp_scanner, greetings_of_other_versions_are_accepted) {
  auto greeting = MeshStranger::Greeting();
  greeting[8] = '\x01';
  greeting[11] = '\x01';
  ExpectEvents(greeting, "greeted ");
}

// Guards against a handshake that is not complete or not that of a peer.
Test(zmtp_scanner, other_handshakes_are_refused) {
  const auto refused = std::string("greeted refused:handshake ");
  const auto greeting = MeshStranger::Greeting();
  ExpectEvents(greeting + MeshStranger::Message("abc"), refused);
  ExpectEvents(greeting + MeshStranger::Ping(), refused);
  ExpectEvents(greeting + std::string("\x04\x00", 2), refused);
  ExpectEvents(greeting + "\x04\x06\x05READY", refused);
  for (std::size_t size = 1; size < 28; ++size) {
    auto ready = MeshStranger::Ready().substr(0, size + 2);
    ready[1] = static_cast<char>(size);
    ExpectEvents(greeting + ready, refused);
  }
  auto other = MeshStranger::Ready();
  other.replace(other.find("DEALER"), 6, "ROUTER");
  ExpectEvents(greeting + other, refused);
  auto endless = MeshStranger::Ready();
  endless.replace(endless.find("DEALER") - 4, 4, 4, '\xff');
  ExpectEvents(greeting + endless, refused);
}

// Guards against parts that are held until the last one of their message.
Test(zmtp_scanner, messages_of_several_parts_are_refused) {
  ExpectAfterHandshake("\x01\x01x", "refused:parts ");
  ExpectAfterHandshake(LongHeader(1, '\x03'), "refused:parts ");
}

// Guards against messages and commands over the limits.
Test(zmtp_scanner, large_frames_are_refused) {
  ExpectAfterHandshake(LongHeader(kMaxMessage + 1), "refused:size ");
  ExpectAfterHandshake(LongHeader(~std::uint64_t{0}), "refused:size ");
  ExpectAfterHandshake(LongHeader(1, '\x06'), "refused:framing ");
}

// Guards against frames that parsers may read differently.
Test(zmtp_scanner, unknown_flags_are_refused) {
  for (const auto flags : {'\x05', '\x07', '\x08', '\x10', '\x20', '\x40'}) {
    ExpectAfterHandshake(LongHeader(1, flags), "refused:framing ");
  }
}

// Guards against peers with heartbeats that close their connections, and
// against commands that are taken for messages.
Test(zmtp_scanner, commands_are_read) {
  ExpectAfterHandshake(MeshStranger::Ping(), "ping: ");
  ExpectAfterHandshake(std::string("\x04\x08\x04PING\0\0c", 10), "ping:c ");
  ExpectAfterHandshake("\x04\x05\x04PONG" + MeshStranger::Message("a"),
                       "begun:1 message:a ");
  ExpectAfterHandshake("\x04\x05\x04PING", "refused:framing ");
  ExpectAfterHandshake(std::string("\x04\x00", 2), "refused:framing ");
  ExpectAfterHandshake("\x04\x18\x04PING" + std::string(19, 'x'),
                       "refused:framing ");
}

// Guards against input that is read after a refusal.
Test(zmtp_scanner, reads_nothing_after_a_refusal) {
  ZmtpScanner scanner(kMaxMessage);
  cr_assert_eq(ScanAll(scanner, "x"), "refused:greeting ");
  cr_assert_eq(ScanAll(scanner, Handshake()), "");
}

// Guards against an accepting side that peers refuse.
Test(zmtp_scanner, own_commands_are_well_formed) {
  cr_expect_eq(ZmtpScanner::Greeting(), MeshStranger::Greeting());
  auto ready = MeshStranger::Ready().substr(0, 30);
  ready[1] = '\x1c';
  ready.replace(24, 6, "ROUTER");
  cr_expect_eq(ZmtpScanner::ReadyCommand(), ready);
  cr_expect_eq(ZmtpScanner::PongCommand("ab"), "\x04\x07\x04PONGab");
}

}  // namespace flamingoyoke
