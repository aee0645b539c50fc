#include "node/observe/admin/admin_connections.h"

#include <new>

namespace flamingoyoke {
namespace {

// More than a request may have; evhttp would go on reading ahead of the
// answers.
constexpr std::size_t kMaxInputBytes = 16 << 10;

}  // namespace

AdminConnections::AdminConnections(EventLoop& loop, std::size_t limit)
    : loop_(loop),
      limit_(limit),
      update_(event_new(
          loop.base(),
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<AdminConnections*>(self)->Update();
          },
          this)) {
  if (!update_) {
    throw std::bad_alloc();
  }
}

AdminConnections::~AdminConnections() = default;

auto AdminConnections::Watch(evhttp* server) -> void {
  evhttp_set_bevcb(
      server,
      [](event_base*, void* self) {
        return static_cast<AdminConnections*>(self)->Open();
      },
      this);
}

auto AdminConnections::Open() -> bufferevent* {
  auto* bev = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  if (bev == nullptr) {
    return nullptr;
  }
  bufferevent_setwatermark(bev, EV_READ, 0, kMaxInputBytes);
  connections_.push_back({this, bev});
  // evhttp sets its callbacks after this call. The event runs after that and
  // before any event of the connection.
  event_active(update_.get(), EV_TIMEOUT, 0);
  return bev;
}

auto AdminConnections::Update() -> void {
  for (auto& each : connections_) {
    if (each.connection != nullptr) {
      continue;
    }
    // The argument of the callbacks is the evhttp_connection; evhttp has no
    // other way to get it before the first request.
    void* argument = nullptr;
    bufferevent_getcb(each.bev, nullptr, nullptr, nullptr, &argument);
    each.connection = static_cast<evhttp_connection*>(argument);
    evhttp_connection_set_closecb(
        each.connection,
        [](evhttp_connection*, void* data) {
          auto* closed = static_cast<Connection*>(data);
          closed->owner->connections_.remove_if(
              [closed](const Connection& other) { return &other == closed; });
        },
        &each);
  }
  while (connections_.size() > limit_) {
    evhttp_connection_free(connections_.front().connection);
  }
}

}  // namespace flamingoyoke
