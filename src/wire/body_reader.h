#ifndef FLAMINGOYOKE_WIRE_BODY_READER_H_
#define FLAMINGOYOKE_WIRE_BODY_READER_H_

#include <wire/fleet.pb.h>
#include "core/result.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Decodes the message in the body of `envelope`. Fails with kMalformedMessage
// if the body is missing or a value is out of range. Thread-safe.
auto ReadBody(const wire::Envelope& envelope) -> Result<PeerMessage>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_WIRE_BODY_READER_H_
