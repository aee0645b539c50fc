#ifndef FLAMINGOYOKE_WIRE_PEER_CODEC_H_
#define FLAMINGOYOKE_WIRE_PEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "core/result.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// A table value of at most a megabyte and its envelope.
inline constexpr std::size_t kMaxEnvelopeBytes = (1 << 20) + (1 << 16);

// Returns `envelope` as bytes for the wire. Thread-safe.
auto EncodeEnvelope(const PeerEnvelope& envelope) -> std::string;

// Returns the message that `bytes` encode. Fails with kMalformedMessage on
// anything that EncodeEnvelope does not produce: unknown enumerators, a
// missing sender or body, or more than kMaxEnvelopeBytes. Thread-safe.
auto DecodeEnvelope(std::string_view bytes) -> Result<PeerEnvelope>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_WIRE_PEER_CODEC_H_
