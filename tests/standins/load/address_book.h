#ifndef FLAMINGOYOKE_TESTS_STANDINS_LOAD_ADDRESS_BOOK_H_
#define FLAMINGOYOKE_TESTS_STANDINS_LOAD_ADDRESS_BOOK_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "runtime/event_loop.h"
#include "standins/common/http_client.h"
#include "standins/common/timer_queue.h"

namespace flamingoyoke::standin {

// Resolves and caches the addresses of a service as a caller does: queries one
// VM, keeps the answer for its time to live and queries the next VM if one does
// not answer. Used on the thread of its loop only.
class AddressBook {
 public:
  // `client` and `timers` must outlive the book. Precondition: `entries` is
  // not empty.
  AddressBook(HttpClient& client,
              TimerQueue& timers,
              std::vector<NamedEndpoint> entries,
              std::string target);

  // Requests addresses and calls `on_ready` once, after the first answer with
  // addresses.
  auto Start(std::function<void()> on_ready) -> void;

  // Returns the address to use now, or nullopt before the first answer.
  [[nodiscard]] auto Current() const -> std::optional<NamedEndpoint>;
  // Switches to the next address if `address`, which failed, is the current
  // one.
  auto MarkFailed(const NamedEndpoint& address) -> void;

 private:
  auto RequestAddresses() -> void;
  auto OnAnswer(const HttpAnswer& answer) -> void;

  HttpClient& client_;
  TimerQueue& timers_;
  std::vector<NamedEndpoint> entries_;
  std::size_t next_entry_ = 0;
  std::string target_;
  std::function<void()> on_ready_;
  std::vector<NamedEndpoint> addresses_;
  std::size_t current_ = 0;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_LOAD_ADDRESS_BOOK_H_
