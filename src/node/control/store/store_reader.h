#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_

#include <event2/http.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "decision/platform/read_recovery.h"
#include "node/control/store/store_config.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// HTTP client that sends one GET request at a time to the store. Keeps its
// connection alive and replaces it after any failure. Not thread-safe; must not
// outlive its loop.
class StoreReader {
 public:
  struct Response {
    ReadOutcome outcome = ReadOutcome::kAnswered;
    // Unset unless the outcome is kAnswered.
    int status = 0;
    std::string body;
    // Value of the era header; empty if there is none.
    std::string era;
  };
  using OnResponse = std::function<void(const Response&)>;

  // `config` must outlive the reader. `era_header` names the header whose value
  // is returned as the era; none if empty.
  StoreReader(EventLoop& loop,
              const StoreConfig& config,
              std::string era_header = {});
  StoreReader(const StoreReader&) = delete;
  auto operator=(const StoreReader&) -> StoreReader& = delete;
  ~StoreReader();

  // Closes the connection, so that the next request opens a new one. A link may
  // have dropped an idle connection without notice. Precondition: no request is
  // in progress.
  auto CloseConnection() -> void { connection_.reset(); }

  // Requests `path`, allowing `timeout` for the response. Precondition: no
  // request is in progress.
  auto Get(const std::string& path, Duration timeout, OnResponse on_response)
      -> void;

 private:
  struct ConnectionDeleter {
    auto operator()(evhttp_connection* connection) const -> void {
      evhttp_connection_free(connection);
    }
  };

  auto EnsureConnection() -> bool;
  // Limits what a faulty store can make this process keep.
  auto OnInput(std::size_t bytes) -> void;
  auto OnRequestDone(evhttp_request* request) -> void;
  // Ends the request with `outcome` in a later event, as the connection must
  // not be freed within its own callbacks.
  auto FailSoon(ReadOutcome outcome) -> void;
  auto Complete(const Response& response) -> void;

  EventLoop& loop_;
  const StoreConfig& config_;
  const std::string era_header_;
  OnResponse on_response_;
  // The outcome that timeout_timer_ reports.
  ReadOutcome failure_ = ReadOutcome::kTimedOut;
  std::size_t received_bytes_ = 0;
  EventLoop::Handle timeout_timer_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_READER_H_
