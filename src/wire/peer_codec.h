#ifndef FLAMINGOYOKE_WIRE_PEER_CODEC_H_
#define FLAMINGOYOKE_WIRE_PEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "core/result.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Room for a table value of up to 1 MiB, and 64 KiB for its envelope.
inline constexpr std::size_t kMaxEnvelopeBytes = (1 << 20) + (1 << 16);

// Returns the wire encoding of `envelope`. Thread-safe.
auto EncodeEnvelope(const PeerEnvelope& envelope) -> std::string;

// Decodes an envelope. Fails with kMalformedMessage on input that
// EncodeEnvelope does not produce: unknown enum values, a missing sender or
// body, or more than kMaxEnvelopeBytes. Thread-safe.
auto DecodeEnvelope(std::string_view bytes) -> Result<PeerEnvelope>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_WIRE_PEER_CODEC_H_
