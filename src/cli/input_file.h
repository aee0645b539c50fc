#ifndef FLAMINGOYOKE_CLI_INPUT_FILE_H_
#define FLAMINGOYOKE_CLI_INPUT_FILE_H_

#include <cstddef>
#include <optional>
#include <string>

namespace flamingoyoke {

// Reads at most `limit` + 1 bytes of a file, so that a check can detect a file
// that is too large. Prints an error and returns nullopt on failure.
// Thread-safe.
auto ReadInputFile(const std::string& path, std::size_t limit)
    -> std::optional<std::string>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_INPUT_FILE_H_
