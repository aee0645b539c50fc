// Fuzzes the decoder of messages between nodes: a message that decodes must
// keep its type when it is encoded and decoded again.

#include <google/protobuf/stubs/logging.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string_view>

#include "wire/peer_codec.h"

namespace {

auto Decode(std::string_view bytes)
    -> std::optional<flamingoyoke::PeerEnvelope> {
  std::optional<flamingoyoke::PeerEnvelope> envelope;
  flamingoyoke::CaptureInto(
      envelope, [&] { return flamingoyoke::DecodeEnvelope(bytes); });
  return envelope;
}

}  // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  google::protobuf::SetLogHandler(nullptr);
  const auto envelope = Decode({reinterpret_cast<const char*>(data), size});
  if (!envelope) {
    return 0;
  }
  const auto again = Decode(flamingoyoke::EncodeEnvelope(*envelope));
  if (!again || again->message.index() != envelope->message.index()) {
    std::abort();
  }
  return 0;
}
