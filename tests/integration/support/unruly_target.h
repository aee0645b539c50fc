#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_UNRULY_TARGET_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_UNRULY_TARGET_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

#include "core/name_table.h"

namespace flamingoyoke {
namespace integration {

// What a target sends without an end.
enum class EndlessPart {
  kStatusLine,
  kField,
  kFields,
  kBodyByLength,
  kChunks,
  kChunkSizeLine,
  kTrailer,
  kInterimResponses,
  // Bytes after a complete answer.
  kAfterAnswer,
  // The same some time later, when the connection is idle.
  kOnIdleConnection,
};

}  // namespace integration

template <>
struct EnumNames<integration::EndlessPart> {
  using Part = integration::EndlessPart;
  static constexpr auto kTable = std::to_array<NameEntry<Part>>({
      {Part::kStatusLine, "status-line"},
      {Part::kField, "field"},
      {Part::kFields, "fields"},
      {Part::kBodyByLength, "body-by-length"},
      {Part::kChunks, "chunks"},
      {Part::kChunkSizeLine, "chunk-size-line"},
      {Part::kTrailer, "trailer"},
      {Part::kInterimResponses, "interim-responses"},
      {Part::kAfterAnswer, "after-answer"},
      {Part::kOnIdleConnection, "on-idle-connection"},
  });
};
static_assert(IsDense<integration::EndlessPart>());

namespace integration {

// A target that answers each request, but for checks of its health, with bytes
// without an end, until the connection is closed. It sends as fast as the
// connection takes them. Runs a thread of its own; the methods are not
// thread-safe.
class UnrulyTarget {
 public:
  explicit UnrulyTarget(EndlessPart part);
  UnrulyTarget(const UnrulyTarget&) = delete;
  auto operator=(const UnrulyTarget&) -> UnrulyTarget& = delete;
  ~UnrulyTarget();

  // Name of the target and of its service.
  [[nodiscard]] auto name() const -> std::string;
  // The entry of the target in the store.
  [[nodiscard]] auto RegistrationJson() const -> std::string;
  // Number of requests that it began to answer.
  [[nodiscard]] auto answered() const -> int { return answered_; }
  // Bytes of answers that it has sent.
  [[nodiscard]] auto sent_bytes() const -> std::uint64_t { return sent_; }

 private:
  struct Connection {
    std::string input;
    std::string output;
    bool is_answering = false;
    // When the bytes without an end start, if not at once.
    std::optional<std::chrono::steady_clock::time_point> starts_at;
  };

  auto Run() -> void;
  // Both return false if the connection has ended.
  auto Read(int descriptor, Connection& connection) -> bool;
  auto Write(int descriptor, Connection& connection) -> bool;
  auto StartAnswer(Connection& connection) -> void;
  // Starts the bytes without an end that are due.
  auto StartDue() -> void;

  const EndlessPart part_;
  int listener_;
  int port_ = 0;
  // Bytes that repeat.
  const std::string piece_;
  std::unordered_map<int, Connection> connections_;
  std::atomic<int> answered_ = 0;
  std::atomic<std::uint64_t> sent_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace integration
}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_UNRULY_TARGET_H_
