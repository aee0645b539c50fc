#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_

#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>

#include "node/control/store/store_config.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// HTTP client that sends one GET request at a time to the store. Keeps its
// connection alive and replaces it after any failure. Not thread-safe; must not
// outlive its loop.
class StoreReader {
 public:
  // Called with status 0 if no complete response arrived in time.
  using OnResponse = std::function<void(int status, std::string body)>;

  // `config` must outlive the reader.
  StoreReader(EventLoop& loop, const StoreConfig& config);
  StoreReader(const StoreReader&) = delete;
  auto operator=(const StoreReader&) -> StoreReader& = delete;
  ~StoreReader();

  // Requests `path`, allowing `wait` on top of the read timeout for the
  // response. Precondition: no request is in progress.
  auto Get(const std::string& path, Duration wait, OnResponse on_response)
      -> void;

 private:
  struct ConnectionDeleter {
    auto operator()(evhttp_connection* connection) const -> void {
      evhttp_connection_free(connection);
    }
  };

  auto EnsureConnection() -> bool;
  auto OnRequestDone(evhttp_request* request) -> void;
  auto Complete(int status, std::string body) -> void;

  EventLoop& loop_;
  const StoreConfig& config_;
  OnResponse on_response_;
  EventLoop::Handle timeout_timer_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_
