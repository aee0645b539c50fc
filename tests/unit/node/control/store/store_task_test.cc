#include "node/control/store/store_task.h"

#include <criterion/criterion.h>
#include <poll.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "decision/fleet/published_shard.h"
#include "decision/platform/registry_tracker.h"
#include "runtime/clock.h"
#include "runtime/task_host.h"
#include "unit/node/traffic/test_socket.h"
#include "wire/published_codec.h"

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

// An answer of ScriptedStore. The page is its revision, "more" if the list
// continues, and the ids of targets, separated by spaces.
struct ScriptedAnswer {
  std::string era;
  std::string page;
};

// A store whose script answers each call, given its kind ("list", "page" for
// the further pages of a list, or "watch") and its number among all calls.
class ScriptedStore {
 public:
  using Script =
      std::function<ScriptedAnswer(const std::string& call, int number)>;

  explicit ScriptedStore(Script script)
      : script_(std::move(script)), server_([this] { Serve(); }) {}
  ScriptedStore(const ScriptedStore&) = delete;
  auto operator=(const ScriptedStore&) -> ScriptedStore& = delete;
  ~ScriptedStore() {
    listener_.Shutdown();
    server_.join();
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return listener_.port(); }

 private:
  auto Serve() -> void {
    int number = 0;
    for (auto socket = listener_.Accept(); socket.valid();
         socket = listener_.Accept()) {
      while (const auto message = socket.ReadMessage()) {
        const auto start = message->head.find('/') + 1;
        const auto call =
            message->head.substr(start, message->head.find(' ', start) - start);
        const auto answer = script_(call, ++number);
        socket.Write(
            "HTTP/1.1 200 OK\r\nEra: " + answer.era + "\r\nContent-Length: " +
            std::to_string(answer.page.size()) + "\r\n\r\n" + answer.page);
      }
    }
  }

  Script script_;
  TestListener listener_;
  std::thread server_;
};

auto ScriptedDialect() -> StoreDialect {
  auto dialect = EmptyDialect();
  dialect.era_header = "Era";
  dialect.list_target = [](std::string_view after) {
    return std::string(after.empty() ? "/list" : "/page");
  };
  dialect.read_page = [](std::string_view body) -> Result<StorePage> {
    std::istringstream words{std::string(body)};
    StorePage page;
    words >> page.as_of;
    for (std::string word; words >> word;) {
      if (word == "more") {
        page.has_more = true;
      } else {
        page.items.push_back({.key = word, .value = word});
      }
    }
    return page;
  };
  dialect.read_key = [](std::string_view key) -> StoreKey {
    return TargetKey{TargetId(std::string(key))};
  };
  dialect.read_target = [](const TargetId& id,
                           std::string_view) -> Result<RegisteredTarget> {
    return RegisteredTarget{
        .id = id, .service = ServiceId("s"), .host = "h", .port = 1};
  };
  return dialect;
}

// Returns the registry as "era revision ids".
auto Describe(const Registry& registry) -> std::string {
  auto text = std::to_string(registry.era.value()) + " " +
              std::to_string(registry.revision.value() /
                             RegistryTracker::kStepsPerRevision) +
              " ";
  for (const auto& target : registry.targets) {
    text += target.id.value();
  }
  return text;
}

// Reads `store` for a while, puts the registries in force that the reader
// posts, and returns them and "lost" for each loss of the store.
auto ReadFrom(const ScriptedStore& store) -> std::vector<std::string> {
  Mailboxes mailboxes;
  StoreConfig config;
  config.host = "127.0.0.1";
  config.port = store.port();
  config.read_timeout = std::chrono::seconds(10);
  TaskHost<StoreTask> host("store", mailboxes.platform, [&] {
    return std::make_unique<StoreTask>(config, ScriptedDialect(),
                                       mailboxes.fleet);
  });
  host.Start([](const std::optional<Error>&) {});
  mailboxes.platform.Post(ReaderRoleChanged{.is_reader = true});
  std::vector<std::string> events;
  const auto end = Now() + std::chrono::milliseconds(1500);
  while (Now() < end) {
    pollfd wait = {mailboxes.fleet.descriptor(), POLLIN, 0};
    poll(&wait, 1, 100);
    for (auto& message : mailboxes.fleet.TakeAll()) {
      if (const auto* state = std::get_if<SourceStateChanged>(&message)) {
        events.emplace_back(state->is_available ? "found" : "lost");
      }
      const auto* read = std::get_if<TableRead>(&message);
      if (read == nullptr || read->shard != kRegistryShard) {
        continue;
      }
      std::optional<Registry> registry;
      CaptureInto(registry,
                  [&] { return DecodeRegistry(read->text, read->revision); });
      registry->era = read->era;
      events.push_back(Describe(*registry));
      mailboxes.platform.Post(PublishedInForce{
          std::make_shared<const Registry>(std::move(*registry)), Revision()});
    }
  }
  return events;
}

using Events = std::vector<std::string>;

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

// Guards against changes that are never seen: after a return, the revisions
// given out again soon pass the one that the watch waits at, without a 410.
Test(store_task, lists_anew_when_a_watch_is_answered_in_a_later_era) {
  ScriptedStore store([](const std::string& call, int number) {
    if (number == 1) {
      return ScriptedAnswer{"1", "60 a b"};
    }
    return call == "watch" ? ScriptedAnswer{"2", "70"}
                           : ScriptedAnswer{"2", "69 a b c"};
  });
  cr_assert(ReadFrom(store) == (Events{"1 60 ab", "2 69 abc"}));
}

// Guards against a list that joins pages of before and after a return.
Test(store_task, lists_anew_when_the_pages_are_of_two_eras) {
  ScriptedStore store([](const std::string& call, int number) {
    if (number == 1) {
      return ScriptedAnswer{"1", "60 more a"};
    }
    return call == "page" ? ScriptedAnswer{"2", "19 b"}
                          : ScriptedAnswer{"2", "19 c"};
  });
  cr_assert(ReadFrom(store) == (Events{"2 19 c"}));
}

// Guards against an answer of a proxy or of an older copy that brings back the
// state of before a return.
Test(store_task, refuses_an_era_that_falls_or_is_no_number) {
  for (const auto* era : {"1", "", "two", "-3"}) {
    ScriptedStore store([&](const std::string&, int number) {
      return number == 1 ? ScriptedAnswer{"2", "19 a b"}
                         : ScriptedAnswer{era, "70 x"};
    });
    cr_assert(ReadFrom(store) == (Events{"2 19 ab", "lost"}), "%s", era);
  }
}

}  // namespace flamingoyoke
