#include "standins/platform/platform_task.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingoyoke::standin {
namespace {

constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr double kDefaultWatchMs = 30'000;
constexpr double kDefaultDelayMs = 2'000;
const std::string kReadPrefix = "/v1/config/";
const std::string kPutPrefix = "/control/config/";

auto StartsWith(const std::string& text, const std::string& prefix) -> bool {
  return text.compare(0, prefix.size(), prefix) == 0;
}

auto ToDuration(double milliseconds) -> Duration {
  return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

auto ValueReply(const ConfigValue& value) -> HttpReply {
  return {200, {{"X-Revision", std::to_string(value.revision)}}, value.body};
}

}  // namespace

PlatformTask::PlatformTask(PlatformOptions options)
    : options_(std::move(options)) {}

auto PlatformTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  for (const auto& value : options_.values) {
    std::ifstream file(value.file, std::ios::binary);
    if (!file) {
      return Fail(ErrorKind::kInternal, "cannot read " + value.file);
    }
    store_.Put(value.key, std::string(std::istreambuf_iterator<char>(file),
                                      std::istreambuf_iterator<char>()));
  }
  timers_.emplace(context.loop());
  server_.emplace(context.loop(), [this](HttpExchange exchange) {
    OnRequest(std::move(exchange));
  });
  BOOST_LEAF_AUTO(port, server_->Bind(options_.port));
  std::cout << "port " << port << std::endl;
  return {};
}

auto PlatformTask::Handle(Message /*message*/) -> Result<void> {
  return {};
}

auto PlatformTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto PlatformTask::OnRequest(HttpExchange exchange) -> void {
  if (StartsWith(exchange.Path(), kReadPrefix)) {
    OnRead(std::move(exchange));
    return;
  }
  OnControl(std::move(exchange));
}

auto PlatformTask::OnControl(HttpExchange exchange) -> void {
  const auto path = exchange.Path();
  if (path == "/control/counters") {
    exchange.Reply(CountersReply());
    return;
  }
  if (StartsWith(path, kPutPrefix) && exchange.Method() == "PUT") {
    const auto key = path.substr(kPutPrefix.size());
    const auto revision = store_.Put(key, exchange.Body());
    exchange.Reply({200, {{"X-Revision", std::to_string(revision)}}, ""});
    AnswerWatches();
    return;
  }
  const auto mode = FromName<PlatformMode>(exchange.Query("name").value_or(""));
  if (path != "/control/mode" || !mode) {
    exchange.Reply({kBadRequest, {}, "unknown control path or mode\n"});
    return;
  }
  const auto delay = ToDuration(exchange.Number("delay_ms", kDefaultDelayMs));
  exchange.Reply({200, {}, ""});
  SwitchMode(*mode, delay);
}

auto PlatformTask::OnRead(HttpExchange exchange) -> void {
  const auto wait_after = exchange.Query("wait_after");
  ++(wait_after ? counters_.watches : counters_.reads);
  if (mode_ == PlatformMode::kDown) {
    ++counters_.failed;
    exchange.Reply({kUnavailable, {}, ""});
    return;
  }
  const auto key = exchange.Path().substr(kReadPrefix.size());
  const auto value = store_.Find(key);
  const auto known =
      static_cast<std::uint64_t>(exchange.Number("wait_after", 0));
  if (wait_after && (!value || value->revision <= known)) {
    StartWatch(std::move(exchange), key, known);
    return;
  }
  Answer(std::move(exchange),
         value ? ValueReply(*value) : HttpReply{kNotFound, {}, ""});
}

auto PlatformTask::StartWatch(HttpExchange exchange,
                              const std::string& key,
                              std::uint64_t wait_after) -> void {
  const auto id = next_watch_++;
  const auto timeout =
      ToDuration(exchange.Number("timeout_ms", kDefaultWatchMs));
  watches_.emplace(id, Watch{key, wait_after, std::move(exchange)});
  timers_->After(timeout, [this, id] {
    auto node = watches_.extract(id);
    if (!node.empty()) {
      Answer(std::move(node.mapped().exchange), {kNotModified, {}, ""});
    }
  });
}

auto PlatformTask::SwitchMode(PlatformMode mode, Duration delay) -> void {
  mode_ = mode;
  delay_ = delay;
  store_.SetFrozen(mode == PlatformMode::kStale);
  AnswerWatches();
}

auto PlatformTask::AnswerWatches() -> void {
  for (auto entry = watches_.begin(); entry != watches_.end();) {
    auto& watch = entry->second;
    const auto value = store_.Find(watch.key);
    if (mode_ == PlatformMode::kDown) {
      ++counters_.failed;
      watch.exchange.Reply({kUnavailable, {}, ""});
    } else if (value && value->revision > watch.wait_after) {
      Answer(std::move(watch.exchange), ValueReply(*value));
    } else {
      ++entry;
      continue;
    }
    entry = watches_.erase(entry);
  }
}

auto PlatformTask::Answer(HttpExchange exchange, const HttpReply& reply)
    -> void {
  if (mode_ != PlatformMode::kSlow) {
    exchange.Reply(reply);
    return;
  }
  // std::function needs a copyable callback, hence the shared pointer.
  auto waiting = std::make_shared<HttpExchange>(std::move(exchange));
  timers_->After(delay_, [waiting, reply] { waiting->Reply(reply); });
}

auto PlatformTask::CountersReply() const -> HttpReply {
  const nlohmann::json counters = {{"reads", counters_.reads},
                                   {"watches", counters_.watches},
                                   {"failed", counters_.failed},
                                   {"waiting", watches_.size()},
                                   {"mode", ToName(mode_)}};
  return {200, {{"Content-Type", "application/json"}}, counters.dump() + "\n"};
}

}  // namespace flamingoyoke::standin
