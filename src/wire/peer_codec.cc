#include "wire/peer_codec.h"

#include <utility>

#include <wire/fleet.pb.h>
#include "wire/body_reader.h"
#include "wire/body_writer.h"

namespace flamingoyoke {

auto EncodeEnvelope(const PeerEnvelope& envelope) -> std::string {
  wire::Envelope encoded;
  encoded.set_sender(envelope.sender.value());
  encoded.set_incarnation(envelope.incarnation.value());
  std::visit(BodyWriter{encoded}, envelope.message);
  return encoded.SerializeAsString();
}

auto DecodeEnvelope(std::string_view bytes) -> Result<PeerEnvelope> {
  if (bytes.size() > kMaxEnvelopeBytes) {
    return Fail(ErrorKind::kMalformedMessage,
                "message of " + std::to_string(bytes.size()) +
                    " bytes exceeds the limit of " +
                    std::to_string(kMaxEnvelopeBytes));
  }
  wire::Envelope encoded;
  if (!encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(ErrorKind::kMalformedMessage, "envelope cannot be parsed");
  }
  if (encoded.sender().empty()) {
    return Fail(ErrorKind::kMalformedMessage, "envelope without a sender");
  }
  BOOST_LEAF_AUTO(message, ReadBody(encoded));
  return PeerEnvelope{VmId(encoded.sender()),
                      Incarnation(encoded.incarnation()), std::move(message)};
}

}  // namespace flamingoyoke
