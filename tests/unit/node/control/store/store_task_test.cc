#include "node/control/store/store_task.h"

#include <criterion/criterion.h>
#include <poll.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "runtime/clock.h"
#include "runtime/task_host.h"
#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {
namespace {

TestSuite(store_task, .timeout = 60);

constexpr Duration kTimeout = std::chrono::seconds(20);

// A store without entries. Connections that were accepted before Forget() get
// no more answers.
class ForgetfulStore {
 public:
  ForgetfulStore() : acceptor_([this] { AcceptAll(); }) {}
  ForgetfulStore(const ForgetfulStore&) = delete;
  auto operator=(const ForgetfulStore&) -> ForgetfulStore& = delete;
  ~ForgetfulStore() {
    listener_.Shutdown();
    acceptor_.join();
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  auto Forget() -> void { forgotten_ = accepted_.load(); }
  [[nodiscard]] auto port() const -> std::uint16_t { return listener_.port(); }

 private:
  auto AcceptAll() -> void {
    while (true) {
      auto socket = std::make_shared<TestSocket>(listener_.Accept());
      if (!socket->valid()) {
        return;
      }
      const auto number = ++accepted_;
      threads_.emplace_back([this, socket, number] { Serve(*socket, number); });
    }
  }

  auto Serve(TestSocket& socket, int number) const -> void {
    while (socket.ReadMessage()) {
      if (number > forgotten_) {
        socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      }
    }
  }

  TestListener listener_;
  std::atomic<int> accepted_ = 0;
  std::atomic<int> forgotten_ = 0;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

auto EmptyDialect() -> StoreDialect {
  return {
      .list_target = [](std::string_view) { return std::string("/list"); },
      .watch_target = [](std::uint64_t,
                         Duration) { return std::string("/watch"); },
      .read_page = [](std::string_view) -> Result<StorePage> {
        return StorePage{.as_of = 1};
      },
      .read_key = [](std::string_view) -> StoreKey { return OtherKey{}; },
      .read_routing = [](std::string_view) -> Result<Routing> {
        return Routing();
      },
      .read_target = [](const TargetId&, std::string_view)
          -> Result<RegisteredTarget> { return RegisteredTarget(); },
  };
}

// Waits for a read that succeeded or for the loss of the store, and returns
// whether a read succeeded first.
auto AwaitRead(Mailbox<FleetMessage>& fleet) -> bool {
  const auto end = Now() + kTimeout;
  while (Now() < end) {
    pollfd wait = {fleet.descriptor(), POLLIN, 0};
    poll(&wait, 1, 100);
    for (auto& message : fleet.TakeAll()) {
      if (std::holds_alternative<SourceStateChanged>(message)) {
        return std::get<SourceStateChanged>(message).is_available;
      }
      if (std::holds_alternative<SourceRead>(message)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

// Guards against a new reader that reports the store as lost because a link
// has dropped, without notice, the connection of its last read.
Test(store_task, reads_on_a_new_connection_when_it_becomes_a_reader) {
  ForgetfulStore store;
  Mailboxes mailboxes;
  StoreConfig config;
  config.host = "127.0.0.1";
  config.port = store.port();
  TaskHost<StoreTask> host("store", mailboxes.platform, [&] {
    return std::make_unique<StoreTask>(config, EmptyDialect(), mailboxes.fleet);
  });
  host.Start([](const std::optional<Error>&) {});
  mailboxes.platform.Post(ReaderRoleChanged{.is_reader = true});
  cr_assert(AwaitRead(mailboxes.fleet));
  mailboxes.platform.Post(ReaderRoleChanged{.is_reader = false});
  // The watch in progress ends first.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  mailboxes.fleet.TakeAll();
  store.Forget();
  mailboxes.platform.Post(ReaderRoleChanged{.is_reader = true});
  cr_assert(AwaitRead(mailboxes.fleet));
}

}  // namespace flamingoyoke
