#include "standins/store/store_task.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <iostream>
#include <utility>

#include "runtime/clock.h"

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

auto Milliseconds(const HttpExchange& exchange, const char* name) -> Duration {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(exchange.Number(name, 0)));
}

// The era that an answer names; unset if it names none.
class EraText {
 public:
  explicit EraText(std::uint64_t era) : era_(era) {}

  auto operator()(const OwnEra& /*named*/) const -> std::optional<std::string> {
    return std::to_string(era_);
  }
  auto operator()(const NoEra& /*named*/) const -> std::optional<std::string> {
    return std::nullopt;
  }
  auto operator()(const FixedEra& named) const -> std::optional<std::string> {
    return named.value;
  }

 private:
  std::uint64_t era_;
};

auto ToNamedEra(const std::optional<std::string>& value) -> NamedEra {
  if (!value) {
    return OwnEra{};
  }
  return value->empty() ? NamedEra(NoEra{}) : FixedEra{*value};
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
  if (Now() < away_until_) {
    exchange.Abort();
  } else if (is_down_) {
    Answer(exchange, {kUnavailable, {}, ""});
  } else if (path == "/flamingoyoke/kv-range") {
    OnList(std::move(exchange));
  } else if (path == "/flamingoyoke/kv-watch") {
    OnWatch(std::move(exchange));
  } else {
    Answer(exchange, {kBadRequest, {}, "unknown call\n"});
  }
}

auto StoreTask::OnControl(HttpExchange exchange) -> void {
  const auto path = exchange.Path();
  const auto key = exchange.Query("key").value_or("");
  if (path == "/control/counters") {
    exchange.Reply(JsonReply(
        {{"reads", reads_}, {"revision", data_.revision}, {"era", era_}}));
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
  } else if (path == "/control/copy") {
    copy_ = data_;
  } else if (path == "/control/return" && copy_) {
    ReturnToCopy(Milliseconds(exchange, "away_ms"));
  } else if (path == "/control/era") {
    named_era_ = ToNamedEra(exchange.Query("value"));
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

auto StoreTask::Answer(HttpExchange& exchange, HttpReply reply) const -> void {
  if (auto era = std::visit(EraText(era_), named_era_)) {
    reply.headers.push_back({"Store-Era", *std::move(era)});
  }
  exchange.Reply(reply);
}

auto StoreTask::AnswerJson(HttpExchange& exchange, nlohmann::json json) const
    -> void {
  json["as_of"] = data_.revision;
  Answer(exchange, JsonReply(json));
}

auto StoreTask::Compact() -> void {
  data_.compacted_revision = data_.revision;
  data_.history.clear();
}

auto StoreTask::ReturnToCopy(Duration away) -> void {
  EndWatches(WatchEnd::kCut);
  data_ = *copy_;
  ++era_;
  away_until_ = Now() + away;
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
  for (auto item = data_.items.upper_bound(after); item != data_.items.end();
       ++item) {
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
  AnswerJson(exchange, {{"items", items}, {"has_more", has_more}});
}

auto StoreTask::OnWatch(HttpExchange exchange) -> void {
  const auto after = static_cast<std::uint64_t>(exchange.Number("after", 0));
  if (IsGone(after)) {
    Answer(exchange, {kGone, {}, ""});
    return;
  }
  const auto wait = Milliseconds(exchange, "wait_ms");
  const auto id = next_watch_++;
  const auto prefix = exchange.Query("prefix").value_or("");
  watches_.emplace(id, Watch{prefix, after, std::move(exchange)});
  timers_->After(wait, [this, id] {
    auto node = watches_.extract(id);
    if (!node.empty()) {
      AnswerJson(node.mapped().exchange, {{"events", nlohmann::json::array()}});
    }
  });
  AnswerWatches();
}

auto StoreTask::Commit(const std::string& key, std::optional<std::string> value)
    -> void {
  const Change change{key, std::move(value), ++data_.revision};
  data_.history.push_back(change);
  if (change.value) {
    data_.items[key] = change;
  } else {
    data_.items.erase(key);
  }
}

auto StoreTask::EventsAfter(const std::string& prefix,
                            std::uint64_t after) const -> nlohmann::json {
  auto events = nlohmann::json::array();
  for (const auto& change : data_.history) {
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

auto StoreTask::IsGone(std::uint64_t after) const -> bool {
  return after < data_.compacted_revision || after > data_.revision;
}

auto StoreTask::AnswerWatches() -> void {
  for (auto entry = watches_.begin(); entry != watches_.end();) {
    auto& watch = entry->second;
    const auto events = EventsAfter(watch.prefix, watch.after);
    if (is_down_) {
      Answer(watch.exchange, {kUnavailable, {}, ""});
    } else if (IsGone(watch.after)) {
      Answer(watch.exchange, {kGone, {}, ""});
    } else if (!events.empty()) {
      AnswerJson(watch.exchange, {{"events", events}});
    } else {
      ++entry;
      continue;
    }
    entry = watches_.erase(entry);
  }
}

}  // namespace flamingoyoke::standin
