#ifndef FLAMINGOYOKE_WIRE_TEXT_COMPRESSION_H_
#define FLAMINGOYOKE_WIRE_TEXT_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "core/result.h"

namespace flamingoyoke {

// Returns `text` compressed, with `base` as dictionary unless it is empty. A
// text that differs little from its base takes some tens of bytes for each
// changed place. Fails with kResourceRefused if there is no memory.
// Thread-safe.
auto CompressText(std::string_view text, std::string_view base)
    -> Result<std::string>;

// Returns the text that was compressed with the same base. Fails with
// kMalformedMessage if `bytes` are damaged, were compressed with another base,
// or hold more than `max_size` bytes of text. Thread-safe.
auto ExpandText(std::string_view bytes,
                std::string_view base,
                std::size_t max_size) -> Result<std::string>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_WIRE_TEXT_COMPRESSION_H_
