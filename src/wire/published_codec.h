#ifndef FLAMINGOYOKE_WIRE_PUBLISHED_CODEC_H_
#define FLAMINGOYOKE_WIRE_PUBLISHED_CODEC_H_

#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/result.h"
#include "table/registry.h"
#include "table/routing.h"

namespace flamingoyoke {

// The encoding in which nodes distribute the published configuration and the
// registry. Revision and era are not encoded, but sent in the table digest.
// Equal values have equal encodings. All functions are thread-safe.

auto EncodeRouting(const Routing& routing) -> std::string;

// Fails with kMalformedMessage if `bytes` cannot be parsed, or if a route has
// no service or an unknown repeatability.
auto DecodeRouting(std::string_view bytes, Revision revision)
    -> Result<Routing>;

auto EncodeRegistry(const Registry& registry) -> std::string;

// Fails with kMalformedMessage if `bytes` cannot be parsed, or if a port is
// out of range.
auto DecodeRegistry(std::string_view bytes,
                    Revision revision,
                    StoreEra era = {}) -> Result<Registry>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_WIRE_PUBLISHED_CODEC_H_
