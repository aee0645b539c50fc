#ifndef FLAMINGOYOKE_TESTS_STANDINS_PROXY_FAULT_H_
#define FLAMINGOYOKE_TESTS_STANDINS_PROXY_FAULT_H_

#include <array>
#include <cstddef>
#include <variant>

#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke::standin {

// Direction of a byte stream.
enum class Direction { kToServer, kToClient };

// Fault kinds that the control endpoint accepts.
enum class FaultKind {
  kNone,     // Ends cut, pause, delay and refuse; silent connections stay so.
  kCut,      // Holds the bytes of all connections, new ones too.
  kPause,    // Holds the bytes of the connections open now.
  kSilent,   // As pause, but until the connections close.
  kDelay,    // Delays the bytes of all connections.
  kLoss,     // Delays some bytes, and those behind them, until a resend.
  kPartial,  // Passes some more bytes of each connection, then closes it.
  kReset,    // Resets the connections open now.
  kRefuse,   // Resets the connections open now and all new ones.
};

// Faults of one direction of a connection.
struct ForwardBytes {};
// Bytes stay unread in the socket buffer, as if the network lost every packet.
struct HoldBytes {};
struct DelayBytes {
  Duration delay;
};
struct LimitBytes {
  std::size_t remaining;
};
// Delays this share of the reads like TCP after a lost packet.
struct LoseBytes {
  double share;
};
using Fault =
    std::variant<ForwardBytes, HoldBytes, DelayBytes, LimitBytes, LoseBytes>;

}  // namespace flamingoyoke::standin

namespace flamingoyoke {

template <>
struct EnumNames<standin::Direction> {
  static constexpr auto kTable = std::to_array<NameEntry<standin::Direction>>({
      {standin::Direction::kToServer, "to-server"},
      {standin::Direction::kToClient, "to-client"},
  });
};
static_assert(IsDense<standin::Direction>());

template <>
struct EnumNames<standin::FaultKind> {
  static constexpr auto kTable = std::to_array<NameEntry<standin::FaultKind>>({
      {standin::FaultKind::kNone, "none"},
      {standin::FaultKind::kCut, "cut"},
      {standin::FaultKind::kPause, "pause"},
      {standin::FaultKind::kSilent, "silent"},
      {standin::FaultKind::kDelay, "delay"},
      {standin::FaultKind::kLoss, "loss"},
      {standin::FaultKind::kPartial, "partial"},
      {standin::FaultKind::kReset, "reset"},
      {standin::FaultKind::kRefuse, "refuse"},
  });
};
static_assert(IsDense<standin::FaultKind>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_STANDINS_PROXY_FAULT_H_
