#ifndef FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_UPSTREAM_FAKE_H_
#define FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_UPSTREAM_FAKE_H_

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {

// Fake upstream on a free port of the loopback interface. Each connection has a
// thread that reads complete requests and lets the script respond.
class UpstreamFake {
 public:
  struct Request {
    std::string head;
    std::string body;
    // Index of the connection and of the request on it, from 0. Health probes
    // are not counted as requests.
    std::size_t connection = 0;
    std::size_t number = 0;
  };
  // Responds on the socket. Returns whether to keep the connection open.
  using Script = std::function<bool(const Request&, TestSocket&)>;

  explicit UpstreamFake(Script script) : script_(std::move(script)) {
    acceptor_ = std::thread([this] { AcceptAll(); });
  }

  ~UpstreamFake() {
    listener_.Shutdown();
    acceptor_.join();
    {
      const std::lock_guard lock(mutex_);
      for (auto& socket : sockets_) {
        socket.Shutdown();
      }
      released_ = true;
      changed_.notify_all();
    }
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return listener_.port(); }

  // Number of complete requests received, without health probes.
  auto executions() -> std::size_t {
    const std::lock_guard lock(mutex_);
    return requests_.size();
  }

  // Number of requests received on the given connection.
  auto executions_on(std::size_t connection) -> std::size_t {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(), [&](const Request& request) {
          return request.connection == connection;
        }));
  }

  // Number of connections with at least one request.
  auto connections() -> std::size_t {
    const std::lock_guard lock(mutex_);
    std::set<std::size_t> used;
    for (const auto& request : requests_) {
      used.insert(request.connection);
    }
    return used.size();
  }

  // Waits until `count` requests were received. Returns false after 20 s.
  auto WaitForExecutions(std::size_t count) -> bool {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20),
                             [&] { return requests_.size() >= count; });
  }

  auto request(std::size_t index) -> Request {
    const std::lock_guard lock(mutex_);
    return requests_.at(index);
  }

  // Blocks a script until the test calls Release(), at most 20 s.
  auto WaitForRelease() -> void {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::seconds(20),
                      [&] { return released_; });
  }
  auto Release() -> void {
    const std::lock_guard lock(mutex_);
    released_ = true;
    changed_.notify_all();
  }

 private:
  auto AcceptAll() -> void {
    while (true) {
      auto accepted = listener_.Accept();
      if (!accepted.valid()) {
        return;
      }
      const std::lock_guard lock(mutex_);
      sockets_.push_back(std::move(accepted));
      threads_.emplace_back(
          [this, socket = &sockets_.back(), index = sockets_.size() - 1] {
            Serve(*socket, index);
          });
    }
  }

  auto Serve(TestSocket& socket, std::size_t connection) -> void {
    std::size_t number = 0;
    while (true) {
      const auto message = socket.ReadMessage();
      if (!message) {
        return;
      }
      const Request request{message->head, message->body, connection, number};
      if (request.head.rfind("GET /healthz", 0) == 0) {
        socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
        ++number;
        changed_.notify_all();
      }
      if (!script_(request, socket)) {
        socket.Shutdown();
        return;
      }
    }
  }

  Script script_;
  TestListener listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool released_ = false;
  std::vector<Request> requests_;
  std::list<TestSocket> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_UPSTREAM_FAKE_H_
