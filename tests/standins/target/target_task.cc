#include "standins/target/target_task.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke::standin {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr int kDeadlineReached = 504;
constexpr auto* kTeamHeader = "X-Tenant-Id";
constexpr std::size_t kLongestQueue = 16;
constexpr int kLongestTimeMs = 3'600'000;
constexpr auto kIdleTimeout = milliseconds(30);
// From the first part of an answer until the end of its connection.
constexpr auto kBreakOffDelay = milliseconds(30);

auto HeaderNumber(const HttpExchange& exchange,
                  const char* name,
                  std::int64_t fallback) -> std::int64_t {
  const auto text = exchange.Header(name);
  return text ? std::atoll(text->c_str()) : fallback;
}

// Returns what is left of the caller's time.
auto TimeLeft(const HttpExchange& exchange) -> milliseconds {
  return milliseconds(
      HeaderNumber(exchange, "X-Request-Deadline-Ms", kLongestTimeMs));
}

// Returns the value of a header in `head`.
auto HeaderIn(const std::string& head, const std::string& name) -> std::string {
  const auto line = "\r\n" + name + ": ";
  const auto start = head.find(line);
  if (start == std::string::npos) {
    return "";
  }
  const auto value = start + line.size();
  return head.substr(value, head.find("\r\n", value) - value);
}

auto Join(const std::vector<std::string>& values) -> std::string {
  std::string text;
  for (const auto& value : values) {
    text += (text.empty() ? "" : ",") + value;
  }
  return text;
}

auto HasLength(TargetMode mode) -> bool {
  return mode != TargetMode::kNoLength && mode != TargetMode::kNoLengthReset;
}

// Whether an answer of `mode` is complete and that of its request.
auto IsSound(TargetMode mode) -> bool {
  return mode != TargetMode::kReset && mode != TargetMode::kForeign &&
         mode != TargetMode::kCut && mode != TargetMode::kCutReset &&
         mode != TargetMode::kNoLengthReset;
}

auto ToBytes(const HttpReply& reply, bool has_length) -> std::string {
  auto bytes = "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\n";
  for (const auto& header : reply.headers) {
    bytes += header.name + ": " + header.value + "\r\n";
  }
  if (has_length) {
    bytes += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n";
  }
  return bytes + "\r\n" + reply.body;
}

}  // namespace

TargetTask::TargetTask(TargetOptions options) : options_(std::move(options)) {}

auto TargetTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  timers_.emplace(context.loop());
  server_.emplace(context.loop(), [this](HttpExchange exchange) {
    OnRequest(std::move(exchange));
  });
  server_->SetEarlyAnswer(
      [this](const std::string& head) { return AnswerEarly(head); });
  BOOST_LEAF_AUTO(port, server_->Bind(options_.port));
  std::cout << "port " << port << std::endl;
  return {};
}

auto TargetTask::Handle(Message /*message*/) -> Result<void> {
  return {};
}

auto TargetTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto TargetTask::OnRequest(HttpExchange exchange) -> void {
  if (exchange.Path().rfind("/control/", 0) == 0) {
    OnControl(std::move(exchange));
    return;
  }
  with_key_ += exchange.Header("X-Key") ? 1 : 0;
  const auto id = exchange.Header("X-Request-Id").value_or("");
  if (answered_early_.erase(id) > 0) {
    exchange.Complete();
    return;
  }
  const auto expected = exchange.Header("X-Expect-Instance");
  if (expected && *expected != options_.id) {
    ++misdirected_;
    exchange.Reply({kMisdirected,
                    {{"X-Request-Id", id}, {"X-Instance-Id", options_.id}},
                    ""});
    return;
  }
  arrivals_.push_back({id, Now(), Join(exchange.AllHeaders(kTeamHeader))});
  if (mode_ == TargetMode::kShed) {
    Shed(std::move(exchange));
    return;
  }
  if (HasFreeSlot()) {
    Run(std::move(exchange));
  } else if (waiting_.size() < kLongestQueue) {
    const auto deadline = Now() + TimeLeft(exchange);
    waiting_.push_back({std::move(exchange), deadline});
  } else {
    Shed(std::move(exchange));
  }
}

auto TargetTask::OnControl(HttpExchange exchange) -> void {
  if (exchange.Path() == "/control/counters") {
    auto log = nlohmann::json::array();
    for (const auto& record : log_) {
      nlohmann::json entry = {
          {"id", record.id},
          {"start_us", record.start.time_since_epoch().count()},
          {"is_sound", record.is_sound},
          {"status", record.status}};
      if (record.end) {
        entry["end_us"] = record.end->time_since_epoch().count();
      }
      log.push_back(entry);
    }
    auto arrivals = nlohmann::json::array();
    for (const auto& arrival : arrivals_) {
      arrivals.push_back({{"id", arrival.id},
                          {"at_us", arrival.at.time_since_epoch().count()},
                          {"team", arrival.team}});
    }
    const nlohmann::json counters = {{"runs", runs_},
                                     {"misdirected", misdirected_},
                                     {"by_id", runs_by_id_},
                                     {"arrivals", arrivals},
                                     {"early", early_answers_},
                                     {"with_key", with_key_},
                                     {"log", log}};
    exchange.Reply({kOk, {}, counters.dump()});
    return;
  }
  if (exchange.Path() == "/control/status") {
    status_ = static_cast<int>(exchange.Number("value", kOk));
    exchange.Reply({kOk, {}, ""});
    return;
  }
  const auto mode = FromName<TargetMode>(exchange.Query("name").value_or(""));
  if (!mode) {
    exchange.Reply({kBadRequest, {}, "unknown mode\n"});
    return;
  }
  mode_ = *mode;
  if (mode_ != TargetMode::kHang) {
    ResetHanging();
  }
  exchange.Reply({kOk, {}, ""});
}

auto TargetTask::RunWaiting() -> void {
  while (!waiting_.empty() && HasFreeSlot()) {
    auto waiting = std::move(waiting_.front());
    waiting_.pop_front();
    if (waiting.deadline < Now()) {
      Shed(std::move(waiting.exchange));
    } else {
      Run(std::move(waiting.exchange));
    }
  }
}

auto TargetTask::HasFreeSlot() const -> bool {
  return options_.slots == 0 || running_.size() < options_.slots;
}

auto TargetTask::Run(HttpExchange exchange) -> void {
  const auto id = exchange.Header("X-Request-Id").value_or("");
  const auto work =
      milliseconds(HeaderNumber(exchange, "X-Work-Ms", options_.service_ms));
  const auto left = TimeLeft(exchange);
  ++runs_;
  ++runs_by_id_[id];
  log_.push_back({id, Now(), std::nullopt, false, 0});
  const auto number = log_.size() - 1;
  running_.emplace(number, Running{std::move(exchange), work > left});
  timers_->After(std::min(work, left), [this, number] { Finish(number); });
}

auto TargetTask::Finish(std::size_t number) -> void {
  const auto found = running_.find(number);
  if (found == running_.end()) {
    return;
  }
  if (mode_ == TargetMode::kHang) {
    found->second.is_hanging = true;
    return;
  }
  auto running = std::move(found->second);
  running_.erase(found);
  auto& record = log_[number];
  record.end = Now();
  record.is_sound = IsSound(mode_);
  auto reply = MakeReply(record.id, running.is_late);
  record.status = reply.status;
  reply.body.append(static_cast<std::size_t>(
                        HeaderNumber(running.exchange, "X-Answer-Bytes", 0)),
                    'x');
  switch (mode_) {
    case TargetMode::kReset:
      running.exchange.Abort();
      break;
    case TargetMode::kCut:
    case TargetMode::kCutReset:
    case TargetMode::kNoLengthReset:
      BreakOff(number, std::move(running.exchange));
      break;
    case TargetMode::kNoLength:
      running.exchange.SendBytes(ToBytes(reply, HasLength(mode_)));
      running.exchange.Abort();
      break;
    case TargetMode::kDropIdle:
      running.exchange.SetIdleTimeout(kIdleTimeout);
      [[fallthrough]];
    default:
      running.exchange.Reply(reply);
  }
  RunWaiting();
}

auto TargetTask::BreakOff(std::size_t number, HttpExchange exchange) -> void {
  const auto answer =
      ToBytes(MakeReply(log_[number].id, false), HasLength(mode_));
  exchange.SendBytes(answer.substr(0, answer.size() - 3));
  broken_off_.emplace(number, std::move(exchange));
  timers_->After(kBreakOffDelay, [this, number, mode = mode_] {
    auto ending = std::move(broken_off_.extract(number).mapped());
    if (mode == TargetMode::kCut) {
      ending.Abort();
    } else {
      ending.Reset();
    }
  });
}

auto TargetTask::AnswerEarly(const std::string& head)
    -> std::optional<std::string> {
  const auto id = HeaderIn(head, "X-Request-Id");
  const auto expected = HeaderIn(head, "X-Expect-Instance");
  if (mode_ != TargetMode::kEarly || id.empty() ||
      (!expected.empty() && expected != options_.id)) {
    return std::nullopt;
  }
  arrivals_.push_back({id, Now(), HeaderIn(head, kTeamHeader)});
  ++runs_;
  ++early_answers_;
  ++runs_by_id_[id];
  log_.push_back({id, Now(), Now(), true, kOk});
  answered_early_.insert(id);
  return ToBytes(MakeReply(id, false), true);
}

auto TargetTask::MakeReply(const std::string& id, bool is_late) const
    -> HttpReply {
  const int success = is_late ? kDeadlineReached : status_;
  const auto named = mode_ == TargetMode::kForeign ? "another-request" : id;
  HttpReply reply{
      mode_ == TargetMode::kError ? kInternalError : success,
      {{"X-Request-Id", named},
       {"X-Gateway-Signature", options_.id + "." + named},
       {"X-Instance-Load", std::to_string(running_.size()) + "," +
                               std::to_string(waiting_.size()) + "," +
                               std::to_string(options_.slots)}},
      "body of " + named};
  if (mode_ == TargetMode::kLastAnswer) {
    reply.headers.push_back({"Connection", "close"});
  }
  return reply;
}

auto TargetTask::ResetHanging() -> void {
  for (auto entry = running_.begin(); entry != running_.end();) {
    if (!entry->second.is_hanging) {
      ++entry;
      continue;
    }
    log_[entry->first].end = Now();
    entry->second.exchange.Reset();
    entry = running_.erase(entry);
  }
  RunWaiting();
}

auto TargetTask::Shed(HttpExchange exchange) -> void {
  const auto id = exchange.Header("X-Request-Id").value_or("");
  exchange.Reply(
      {kUnavailable, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}, ""});
}

}  // namespace flamingoyoke::standin
