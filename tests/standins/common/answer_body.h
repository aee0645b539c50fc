#ifndef FLAMINGOYOKE_TESTS_STANDINS_COMMON_ANSWER_BODY_H_
#define FLAMINGOYOKE_TESTS_STANDINS_COMMON_ANSWER_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingoyoke::standin {

// Returns the checksum of `bytes` in hexadecimal. Thread-safe.
auto Checksum(std::string_view bytes) -> std::string;

// Returns the body that the upstream stand-in answers to request `id` with
// request body `received`: the id, the size and checksum of the request body,
// and `size` bytes that depend on the id. A caller that computes the same body
// detects answers that belong to another request, are truncated or are
// corrupted. Thread-safe.
auto MakeAnswerBody(const std::string& id,
                    std::string_view received,
                    std::size_t size) -> std::string;

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_COMMON_ANSWER_BODY_H_
