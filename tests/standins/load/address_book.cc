#include "standins/load/address_book.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace flamingoyoke::standin {
namespace {

constexpr int kOk = 200;
constexpr std::int64_t kDefaultTtlMs = 5'000;
constexpr auto kRetryDelay = std::chrono::milliseconds(100);
constexpr auto kRequestTimeout = std::chrono::seconds(2);

}  // namespace

AddressBook::AddressBook(HttpClient& client,
                         TimerQueue& timers,
                         std::vector<NamedEndpoint> entries,
                         std::string target)
    : client_(client),
      timers_(timers),
      entries_(std::move(entries)),
      target_(std::move(target)) {}

auto AddressBook::Start(std::function<void()> on_ready) -> void {
  on_ready_ = std::move(on_ready);
  RequestAddresses();
}

auto AddressBook::Current() const -> std::optional<NamedEndpoint> {
  if (addresses_.empty()) {
    return std::nullopt;
  }
  return addresses_[current_ % addresses_.size()];
}

auto AddressBook::MarkFailed(const NamedEndpoint& address) -> void {
  const auto current = Current();
  if (current && current->endpoint == address.endpoint) {
    ++current_;
  }
}

auto AddressBook::RequestAddresses() -> void {
  HttpCall call;
  call.server = entries_[next_entry_];
  call.target = target_;
  call.timeout = kRequestTimeout;
  client_.Send(call, [this](const HttpAnswer& answer) { OnAnswer(answer); });
}

auto AddressBook::OnAnswer(const HttpAnswer& answer) -> void {
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  std::vector<NamedEndpoint> addresses;
  if (answer.status == kOk && json.is_object()) {
    for (const auto& entry : json.value("addresses", nlohmann::json::array())) {
      if (auto address = ParseEndpoint(entry.value("address", ""))) {
        addresses.push_back(std::move(*address));
      }
    }
  }
  if (addresses.empty()) {
    next_entry_ = (next_entry_ + 1) % entries_.size();
    timers_.After(kRetryDelay, [this] { RequestAddresses(); });
    return;
  }
  addresses_ = std::move(addresses);
  current_ = 0;
  const auto ttl_ms = json.value("ttl_ms", kDefaultTtlMs);
  timers_.After(std::chrono::milliseconds(ttl_ms),
                [this] { RequestAddresses(); });
  if (auto on_ready = std::exchange(on_ready_, nullptr)) {
    on_ready();
  }
}

}  // namespace flamingoyoke::standin
