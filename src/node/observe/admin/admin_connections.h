#ifndef FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_CONNECTIONS_H_
#define FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_CONNECTIONS_H_

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cstddef>
#include <list>
#include <memory>

#include "runtime/event_loop.h"

namespace flamingoyoke {

// Limits the connections of an evhttp server and the input that each of them
// holds. At the limit, the connection that was opened first is closed for a new
// one: operators' requests are short, so it is idle or slow. Not thread-safe.
class AdminConnections {
 public:
  // `loop` must outlive the object, which must outlive the server.
  AdminConnections(EventLoop& loop, std::size_t limit);
  ~AdminConnections();
  AdminConnections(const AdminConnections&) = delete;
  auto operator=(const AdminConnections&) -> AdminConnections& = delete;

  // Uses the limits for all connections of `server`.
  auto Watch(evhttp* server) -> void;

 private:
  struct Connection {
    AdminConnections* owner = nullptr;
    bufferevent* bev = nullptr;
    // Null until evhttp has set its callbacks.
    evhttp_connection* connection = nullptr;
  };
  struct EventDeleter {
    auto operator()(event* e) const -> void { event_free(e); }
  };

  auto Open() -> bufferevent*;
  // Finds the evhttp objects of new connections, and closes the oldest ones
  // beyond the limit.
  auto Update() -> void;

  EventLoop& loop_;
  const std::size_t limit_;
  // The oldest is the first.
  std::list<Connection> connections_;
  std::unique_ptr<event, EventDeleter> update_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_CONNECTIONS_H_
