#ifndef FLAMINGOYOKE_NODE_CONTROL_PLATFORM_KEY_WATCH_H_
#define FLAMINGOYOKE_NODE_CONTROL_PLATFORM_KEY_WATCH_H_

#include <event2/http.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "decision/platform/read_schedule.h"
#include "node/control/platform/platform_config.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Reads one key of the configuration service: once when the process starts, and
// by repeated long polling while enabled. Has at most one request in progress.
// Not thread-safe; must not outlive its loop.
class KeyWatch {
 public:
  // Called with a new value and its revision. Returns false if the value could
  // not be processed and must be read again.
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

  // Starts or stops watching. `known_revision` is the newest revision that the
  // node received from other sources; values up to it are not reported.
  auto SetEnabled(bool is_enabled, std::uint64_t known_revision) -> void;

 private:
  struct ConnectionDeleter {
    auto operator()(evhttp_connection* connection) const -> void {
      evhttp_connection_free(connection);
    }
  };

  // Limits what a faulty service can make this process keep.
  auto OnInput(std::size_t bytes) -> void;
  auto Read() -> void;
  auto OnRequestDone(evhttp_request* request) -> void;
  // Returns whether the read succeeded. A missing key counts as a failure.
  auto HandleResponse(evhttp_request* request) -> bool;
  auto HandleValue(evhttp_request* request) -> bool;
  [[nodiscard]] auto RequestPath() const -> std::string;

  EventLoop& loop_;
  const PlatformConfig& config_;
  std::string key_;
  ReadSchedule schedule_;
  OnValue on_value_;
  OnFailure on_failure_;
  std::uint64_t revision_ = 0;
  bool is_enabled_ = false;
  bool is_reading_ = false;
  // Whether the key has been read at least once, even if it did not exist.
  bool has_read_ = false;
  EventLoop::Handle read_timer_;
  // Declared last so that it is destroyed first: its pending request refers to
  // the members above.
  // Bytes received for the current request.
  std::size_t received_bytes_ = 0;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_PLATFORM_KEY_WATCH_H_
