#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_

#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>

#include "node/control/store/store_config.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Makes one GET request at a time to the store, on a kept connection that is
// replaced after any failure. Not thread-safe; must not outlive its loop.
class StoreReader {
 public:
  // Status 0 says that there was no whole answer in time.
  using OnAnswer = std::function<void(int status, std::string body)>;

  // `config` must outlive the reader.
  StoreReader(EventLoop& loop, const StoreConfig& config);
  StoreReader(const StoreReader&) = delete;
  auto operator=(const StoreReader&) -> StoreReader& = delete;
  ~StoreReader();

  // Requests `target`, whose answer may take `wait` longer than usual.
  // Precondition: no request is open.
  auto Get(const std::string& target, Duration wait, OnAnswer on_answer)
      -> void;

 private:
  struct ConnectionDeleter {
    auto operator()(evhttp_connection* connection) const -> void {
      evhttp_connection_free(connection);
    }
  };

  auto Connect() -> bool;
  auto OnDone(evhttp_request* request) -> void;
  auto Finish(int status, std::string body) -> void;

  EventLoop& loop_;
  const StoreConfig& config_;
  OnAnswer on_answer_;
  EventLoop::Handle timer_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_
