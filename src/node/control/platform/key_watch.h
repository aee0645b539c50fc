#ifndef FLAMINGOYOKE_NODE_CONTROL_PLATFORM_KEY_WATCH_H_
#define FLAMINGOYOKE_NODE_CONTROL_PLATFORM_KEY_WATCH_H_

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "decision/platform/read_schedule.h"
#include "node/control/platform/platform_config.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Reads one key of the configuration service: once at the start of the
// process, and again and again as a watch while it is enabled. Keeps at most
// one request open. Not thread-safe; must not outlive its loop.
class KeyWatch {
 public:
  // Takes a value and its revision; returns false if it could not be passed
  // on and has to be read again.
  using OnValue =
      std::function<bool(std::uint64_t revision, std::string value)>;
  using OnFailure = std::function<void(const std::string& reason)>;

  // `config` must outlive the watch.
  KeyWatch(EventLoop& loop,
           const PlatformConfig& config,
           std::string key,
           Random random,
           OnValue on_value,
           OnFailure on_failure);

  // Starts or stops watching. `known` is the newest revision that the node
  // has from elsewhere, so that older values are not sent again.
  auto SetEnabled(bool is_enabled, std::uint64_t known) -> void;

 private:
  struct ConnectionDeleter {
    auto operator()(evhttp_connection* connection) const -> void {
      evhttp_connection_free(connection);
    }
  };

  auto Read() -> void;
  auto OnDone(evhttp_request* request) -> void;
  // Returns whether the answer was one that the service may give.
  auto TakeAnswer(evhttp_request* request) -> bool;
  auto TakeValue(evhttp_request* request) -> bool;
  [[nodiscard]] auto Path() const -> std::string;

  EventLoop& loop_;
  const PlatformConfig& config_;
  std::string key_;
  ReadSchedule schedule_;
  OnValue on_value_;
  OnFailure on_failure_;
  std::uint64_t revision_ = 0;
  bool is_enabled_ = false;
  bool is_reading_ = false;
  // Whether a value or the news that there is none has been read.
  bool has_read_ = false;
  EventLoop::Handle timer_;
  // Freed first, since its pending request refers to the members above.
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_PLATFORM_KEY_WATCH_H_
