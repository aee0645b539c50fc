#include "standins/target/target_task.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace flamingoyoke::standin {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

}  // namespace

TargetTask::TargetTask(TargetOptions options) : options_(std::move(options)) {}

auto TargetTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  timers_.emplace(context.loop());
  server_.emplace(context.loop(), [this](HttpExchange exchange) {
    OnRequest(std::move(exchange));
  });
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
  const auto id = exchange.Header("X-Request-Id").value_or("");
  const auto expected = exchange.Header("X-Expect-Instance");
  if (expected && *expected != options_.id) {
    ++misdirected_;
    exchange.Reply({kMisdirected,
                    {{"X-Request-Id", id}, {"X-Instance-Id", options_.id}},
                    ""});
    return;
  }
  if (mode_ == TargetMode::kShed) {
    exchange.Reply(
        {kUnavailable, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}, ""});
    return;
  }
  Run(std::move(exchange));
}

auto TargetTask::OnControl(HttpExchange exchange) -> void {
  if (exchange.Path() == "/control/counters") {
    const nlohmann::json counters = {
        {"runs", runs_}, {"misdirected", misdirected_}, {"by_id", runs_by_id_}};
    exchange.Reply({kOk, {}, counters.dump()});
    return;
  }
  const auto mode = FromName<TargetMode>(exchange.Query("name").value_or(""));
  if (!mode) {
    exchange.Reply({kBadRequest, {}, "unknown mode\n"});
    return;
  }
  mode_ = *mode;
  exchange.Reply({kOk, {}, ""});
}

auto TargetTask::Run(HttpExchange exchange) -> void {
  ++runs_;
  ++runs_by_id_[exchange.Header("X-Request-Id").value_or("")];
  const auto number = next_running_++;
  running_.emplace(number, std::move(exchange));
  timers_->After(std::chrono::milliseconds(options_.service_ms),
                 [this, number] { Finish(number); });
}

auto TargetTask::Finish(std::uint64_t number) -> void {
  const auto found = running_.find(number);
  if (found == running_.end() || mode_ == TargetMode::kHang) {
    // In hang mode the request stays open until the process exits.
    return;
  }
  auto exchange = std::move(found->second);
  running_.erase(found);
  if (mode_ == TargetMode::kReset) {
    exchange.Abort();
    return;
  }
  const auto id = mode_ == TargetMode::kForeign
                      ? "another-request"
                      : exchange.Header("X-Request-Id").value_or("");
  exchange.Reply(
      {mode_ == TargetMode::kError ? kInternalError : kOk,
       {{"X-Request-Id", id}, {"X-Gateway-Signature", options_.id + "." + id}},
       "body of " + id});
}

}  // namespace flamingoyoke::standin
