#include "standins/store/store_task.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <iostream>
#include <utility>

namespace flamingoyoke::standin {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
// Small, so that lists in tests span several pages.
constexpr std::size_t kPageSize = 4;

auto StartsWith(const std::string& text, const std::string& prefix) -> bool {
  return text.compare(0, prefix.size(), prefix) == 0;
}

auto EncodeBase64(const std::string& bytes) -> std::string {
  using Encoder = boost::archive::iterators::base64_from_binary<
      boost::archive::iterators::transform_width<std::string::const_iterator, 6,
                                                 8>>;
  std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

auto JsonReply(const nlohmann::json& json) -> HttpReply {
  return {kOk, {{"Content-Type", "application/json"}}, json.dump()};
}

}  // namespace

StoreTask::StoreTask(std::uint16_t port) : port_(port) {}

auto StoreTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  timers_.emplace(context.loop());
  server_.emplace(context.loop(), [this](HttpExchange exchange) {
    OnRequest(std::move(exchange));
  });
  BOOST_LEAF_AUTO(port, server_->Bind(port_));
  std::cout << "port " << port << std::endl;
  return {};
}

auto StoreTask::Handle(Message /*message*/) -> Result<void> {
  return {};
}

auto StoreTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto StoreTask::OnRequest(HttpExchange exchange) -> void {
  const auto path = exchange.Path();
  if (StartsWith(path, "/control/")) {
    OnControl(std::move(exchange));
    return;
  }
  ++reads_;
  if (is_down_) {
    exchange.Reply({kUnavailable, {}, ""});
  } else if (path == "/flamingoyoke/kv-range") {
    OnList(std::move(exchange));
  } else if (path == "/flamingoyoke/kv-watch") {
    OnWatch(std::move(exchange));
  } else {
    exchange.Reply({kBadRequest, {}, "unknown call\n"});
  }
}

auto StoreTask::OnControl(HttpExchange exchange) -> void {
  const auto path = exchange.Path();
  const auto key = exchange.Query("key").value_or("");
  if (path == "/control/counters") {
    exchange.Reply(JsonReply({{"reads", reads_}, {"revision", revision_}}));
    return;
  }
  if (path == "/control/item" && !key.empty()) {
    Commit(key, exchange.Method() == "DELETE" ? std::nullopt
                                              : std::optional(exchange.Body()));
    if (exchange.Number("compact", 0) > 0) {
      Compact();
    }
  } else if (path == "/control/compact") {
    Compact();
  } else if (path == "/control/lists") {
    cuts_lists_ = exchange.Number("cut", 0) > 0;
  } else if (const auto end =
                 FromName<WatchEnd>(exchange.Query("end").value_or(""));
             path == "/control/watches" && end) {
    EndWatches(*end);
  } else if (path == "/control/mode") {
    is_down_ = exchange.Number("down", 0) > 0;
  } else {
    exchange.Reply({kBadRequest, {}, "unknown control path\n"});
    return;
  }
  exchange.Reply({kOk, {}, ""});
  AnswerWatches();
}

auto StoreTask::Compact() -> void {
  compacted_revision_ = revision_;
  history_.clear();
}

auto StoreTask::EndWatches(WatchEnd end) -> void {
  for (auto& [id, watch] : std::exchange(watches_, {})) {
    switch (end) {
      case WatchEnd::kCut:
        watch.exchange.Abort();
        break;
      case WatchEnd::kReset:
        watch.exchange.Reset();
        break;
      case WatchEnd::kSilent:
        silent_.push_back(std::move(watch.exchange));
        break;
    }
  }
}

auto StoreTask::OnList(HttpExchange exchange) -> void {
  if (cuts_lists_) {
    exchange.Abort();
    return;
  }
  const auto prefix = exchange.Query("prefix").value_or("");
  const auto after = exchange.Query("after").value_or("");
  auto items = nlohmann::json::array();
  bool has_more = false;
  for (auto item = items_.upper_bound(after); item != items_.end(); ++item) {
    if (!StartsWith(item->first, prefix)) {
      continue;
    }
    if (items.size() == kPageSize) {
      has_more = true;
      break;
    }
    items.push_back({{"key", item->first},
                     {"value", EncodeBase64(*item->second.value)},
                     {"rev", item->second.revision},
                     {"lease", 0}});
  }
  exchange.Reply(JsonReply(
      {{"items", items}, {"has_more", has_more}, {"as_of", revision_}}));
}

auto StoreTask::OnWatch(HttpExchange exchange) -> void {
  const auto after = static_cast<std::uint64_t>(exchange.Number("after", 0));
  if (after < compacted_revision_) {
    exchange.Reply({kGone, {}, ""});
    return;
  }
  const auto wait = std::chrono::milliseconds(
      static_cast<std::int64_t>(exchange.Number("wait_ms", 0)));
  const auto id = next_watch_++;
  const auto prefix = exchange.Query("prefix").value_or("");
  watches_.emplace(id, Watch{prefix, after, std::move(exchange)});
  timers_->After(wait, [this, id] {
    auto node = watches_.extract(id);
    if (!node.empty()) {
      node.mapped().exchange.Reply(JsonReply(
          {{"events", nlohmann::json::array()}, {"as_of", revision_}}));
    }
  });
  AnswerWatches();
}

auto StoreTask::Commit(const std::string& key, std::optional<std::string> value)
    -> void {
  ++revision_;
  const Change change{key, std::move(value), revision_};
  history_.push_back(change);
  if (change.value) {
    items_[key] = change;
  } else {
    items_.erase(key);
  }
}

auto StoreTask::EventsAfter(const std::string& prefix,
                            std::uint64_t after) const -> nlohmann::json {
  auto events = nlohmann::json::array();
  for (const auto& change : history_) {
    if (change.revision <= after || !StartsWith(change.key, prefix)) {
      continue;
    }
    if (change.value) {
      events.push_back({{"key", change.key},
                        {"value", EncodeBase64(*change.value)},
                        {"rev", change.revision}});
    } else {
      events.push_back(
          {{"key", change.key}, {"rev", change.revision}, {"tombstone", true}});
    }
  }
  return events;
}

auto StoreTask::AnswerWatches() -> void {
  for (auto entry = watches_.begin(); entry != watches_.end();) {
    auto& watch = entry->second;
    const auto events = EventsAfter(watch.prefix, watch.after);
    if (is_down_) {
      watch.exchange.Reply({kUnavailable, {}, ""});
    } else if (watch.after < compacted_revision_) {
      watch.exchange.Reply({kGone, {}, ""});
    } else if (!events.empty()) {
      watch.exchange.Reply(
          JsonReply({{"events", events}, {"as_of", revision_}}));
    } else {
      ++entry;
      continue;
    }
    entry = watches_.erase(entry);
  }
}

}  // namespace flamingoyoke::standin
