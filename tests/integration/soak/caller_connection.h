#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_CONNECTION_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_CONNECTION_H_

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/endpoint.h"
#include "runtime/event_loop.h"
#include "standins/common/http_client.h"

namespace flamingoyoke::integration {

// A caller's connection, which can carry several requests at a time. It reads
// answers that have a length, have chunks or end with the connection. Used on
// the thread of its loop only.
class CallerConnection {
 public:
  // Must not destroy the connection.
  struct Events {
    std::function<void(const standin::HttpAnswer&)> on_answer;
    // All bytes were handed to the system.
    std::function<void()> on_sent;
    // The connection ended or brought bytes that are no answer. An answer that
    // ends with an orderly close is complete and was passed on.
    std::function<void()> on_end;
  };

  // Connects. `loop` must outlive the connection.
  CallerConnection(EventLoop& loop, const NamedEndpoint& server, Events events);

  auto Send(const std::string& bytes) -> void;
  // Makes the destructor reset the connection instead of closing it.
  auto ResetOnClose() -> void;

 private:
  struct StreamDeleter {
    auto operator()(bufferevent* stream) const -> void {
      bufferevent_free(stream);
    }
  };

  static auto OnReadable(bufferevent* stream, void* self) -> void;
  static auto OnWritten(bufferevent* stream, void* self) -> void;
  static auto OnEvent(bufferevent* stream, short what, void* self) -> void;

  auto End() -> void;
  // Removes the next answer from the input; nullopt if it is not complete or
  // the bytes are no answer, which ends the connection.
  auto TakeAnswer() -> std::optional<standin::HttpAnswer>;
  auto PassAnswersOn() -> void;

  Events events_;
  bool has_ended_ = false;
  bool is_input_complete_ = false;
  std::string input_;
  std::unique_ptr<bufferevent, StreamDeleter> stream_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_CALLER_CONNECTION_H_
