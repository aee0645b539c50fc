#include "standins/upstream/upstream_task.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "runtime/clock.h"
#include "standins/common/answer_body.h"

namespace flamingoyoke::standin {
namespace {

constexpr int kBadRequest = 400;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr int kColdStartFactor = 5;
constexpr int kSlowFactor = 10;
constexpr double kNoDeadlineMs = 3'600'000;

auto ToDuration(double milliseconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

auto DeadlineMs(const HttpExchange& exchange) -> double {
  const auto text = exchange.Header("Flamingoyoke-Deadline-Ms");
  return text ? std::strtod(text->c_str(), nullptr) : kNoDeadlineMs;
}

}  // namespace

UpstreamTask::UpstreamTask(UpstreamOptions options)
    : behaviour_(options.behaviour),
      port_(options.port),
      random_(options.seed) {}

auto UpstreamTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  cold_start_begin_ = Now();
  timers_.emplace(context.loop());
  server_.emplace(context.loop(), [this](HttpExchange exchange) {
    OnRequest(std::move(exchange));
  });
  BOOST_LEAF_AUTO(port, server_->Bind(port_));
  std::cout << "port " << port << std::endl;
  return {};
}

auto UpstreamTask::Handle(Message /*message*/) -> Result<void> {
  return {};
}

auto UpstreamTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto UpstreamTask::OnRequest(HttpExchange exchange) -> void {
  const auto path = exchange.Path();
  if (path == "/healthz") {
    OnProbe(std::move(exchange));
    return;
  }
  if (path.rfind("/control/", 0) == 0) {
    OnControl(std::move(exchange));
    return;
  }
  OnWork(std::move(exchange));
}

auto UpstreamTask::OnControl(HttpExchange exchange) -> void {
  const auto path = exchange.Path();
  if (path == "/control/counters") {
    counters_.in_flight = running_.size();
    counters_.queued = queue_.size();
    exchange.Reply({200, {}, counters_.ToJson()});
    return;
  }
  if (path == "/control/reset") {
    counters_ = UpstreamCounters();
    exchange.Reply({200, {}, ""});
    return;
  }
  const auto fields = nlohmann::json::parse(exchange.Body(), nullptr,
                                            /*allow_exceptions=*/false);
  const auto error =
      path == "/control/behaviour" && fields.is_object()
          ? CaptureError([&] { return ApplyBehaviour(fields, behaviour_); })
          : Error{ErrorKind::kSettingsInvalid,
                  "unknown control path or invalid JSON"};
  if (error) {
    exchange.Reply({kBadRequest, {}, error->detail + "\n"});
    return;
  }
  if (fields.contains("cold_start_ms")) {
    cold_start_begin_ = Now();
  }
  exchange.Reply({200, {}, ""});
  FillSlots();
}

auto UpstreamTask::OnProbe(HttpExchange exchange) -> void {
  ++counters_.probes;
  const bool is_up =
      behaviour_.health == HealthAnswer::kAlwaysUp ||
      (behaviour_.health == HealthAnswer::kTruthful && !behaviour_.shed);
  exchange.Reply({is_up ? 200 : kUnavailable, SignalHeaders(), ""});
}

auto UpstreamTask::OnWork(HttpExchange exchange) -> void {
  ++counters_.received;
  if (behaviour_.shed || queue_.size() >= behaviour_.queue_limit) {
    Shed(std::move(exchange));
    return;
  }
  const auto deadline = Now() + ToDuration(DeadlineMs(exchange));
  queue_.push_back({std::move(exchange), deadline});
  FillSlots();
}

auto UpstreamTask::FillSlots() -> void {
  while (!queue_.empty() && running_.size() < behaviour_.slots) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    if (next.exchange.IsAbandoned()) {
      ++counters_.abandoned;
      Shed(std::move(next.exchange));
    } else if (Now() > next.deadline) {
      Shed(std::move(next.exchange));
    } else {
      Execute(std::move(next.exchange));
    }
  }
}

auto UpstreamTask::Execute(HttpExchange exchange) -> void {
  const auto id = exchange.Query("id").value_or("");
  const auto key = exchange.Header("Flamingoyoke-Key");
  const bool is_gray = random_.Unit() < behaviour_.gray_share;
  ++counters_.executed;
  ++counters_.by_id[id];
  if (key) {
    ++counters_.by_key[*key];
  }
  counters_.bytes_received += exchange.Body().size();
  const auto service_time = ServiceTime(exchange, is_gray);
  const auto number = next_running_++;
  running_.emplace(number, RunningRequest{std::move(exchange), id, is_gray});
  counters_.max_in_flight = std::max(counters_.max_in_flight, running_.size());
  timers_->After(service_time, [this, number] { Finish(number); });
}

auto UpstreamTask::Finish(std::uint64_t number) -> void {
  auto node = running_.extract(number);
  auto& done = node.mapped();
  if (done.is_gray && behaviour_.gray_kind != GrayKind::kSlow) {
    SendGrayFailure(std::move(done.exchange));
  } else {
    ++counters_.answered;
    const auto size = static_cast<std::size_t>(
        std::max(0.0, done.exchange.Number("bytes", 0)));
    done.exchange.Reply({200, SignalHeaders(),
                         MakeAnswerBody(done.id, done.exchange.Body(), size)});
  }
  FillSlots();
}

auto UpstreamTask::SendGrayFailure(HttpExchange exchange) -> void {
  ++counters_.failed;
  if (behaviour_.gray_kind == GrayKind::kHang) {
    hanging_.push_back(std::move(exchange));
    return;
  }
  if (behaviour_.gray_kind == GrayKind::kReset) {
    exchange.Abort();
    return;
  }
  exchange.Reply({kInternalError, SignalHeaders(), "gray failure\n"});
}

auto UpstreamTask::Shed(HttpExchange exchange) -> void {
  ++counters_.shed;
  auto headers = SignalHeaders();
  headers.push_back({"Flamingoyoke-Not-Run", "1"});
  exchange.Reply({kUnavailable, std::move(headers), "shed\n"});
}

auto UpstreamTask::ServiceTime(const HttpExchange& exchange, bool is_gray) const
    -> Duration {
  const auto stated = exchange.Number("service_ms", -1);
  auto time = stated < 0 ? behaviour_.service_time : ToDuration(stated);
  if (Now() < cold_start_begin_ + behaviour_.cold_start) {
    time *= kColdStartFactor;
  }
  if (is_gray && behaviour_.gray_kind == GrayKind::kSlow) {
    time *= kSlowFactor;
  }
  return time;
}

auto UpstreamTask::SignalHeaders() const -> std::vector<HttpHeader> {
  const auto true_load =
      static_cast<double>(running_.size()) /
      static_cast<double>(std::max<std::size_t>(behaviour_.slots, 1));
  const auto load = behaviour_.reported_load.value_or(true_load);
  std::vector<HttpHeader> headers = {
      {"Flamingoyoke-Load", std::to_string(std::min(load, 1.0))}};
  if (behaviour_.drain) {
    headers.push_back({"Flamingoyoke-Drain", "1"});
  }
  return headers;
}

}  // namespace flamingoyoke::standin
