#include "standins/load/load_task.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "runtime/clock.h"
#include "standins/common/answer_body.h"

namespace flamingoyoke::standin {
namespace {

// Time after the deadline until a request without an answer times out.
constexpr auto kAnswerGracePeriod = std::chrono::seconds(5);
constexpr auto kKeyTimeout = std::chrono::seconds(5);

}  // namespace

LoadTask::LoadTask(LoadOptions options)
    : options_(std::move(options)), arrivals_(MakeArrivals(options_)) {}

auto LoadTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  timers_.emplace(context.loop());
  client_.emplace(context.loop());
  if (arrivals_.empty()) {
    return Fail(ErrorKind::kInternal,
                "the schedule is empty; raise --rate or --seconds");
  }
  if (options_.entries.empty()) {
    StartPhase(Phase::kDirect);
    return {};
  }
  addresses_.emplace(*client_, *timers_, options_.entries,
                     "/.flamingoyoke/addresses?service=" + options_.service +
                         "&failure_domain=" + options_.failure_domain);
  addresses_->Start([this] { StartPhase(Phase::kFleet); });
  return {};
}

auto LoadTask::Handle(Message /*message*/) -> Result<void> {
  return {};
}

auto LoadTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto LoadTask::StartPhase(Phase phase) -> void {
  phase_ = phase;
  phase_start_ = Now();
  answered_ = 0;
  timers_->At(phase_start_ + arrivals_.front().at, [this] { SendArrival(0); });
}

auto LoadTask::SendArrival(std::size_t index) -> void {
  if (index + 1 < arrivals_.size()) {
    timers_->At(phase_start_ + arrivals_[index + 1].at,
                [this, index] { SendArrival(index + 1); });
  }
  const auto server = NextServer();
  if (!server) {
    OnAnswer(index, NamedEndpoint(), HttpAnswer());
  } else if (options_.use_keys && phase_ == Phase::kFleet) {
    SendWithKey(index, *server);
  } else {
    SendWork(index, *server, "");
  }
}

auto LoadTask::SendWithKey(std::size_t index, const NamedEndpoint& server)
    -> void {
  HttpCall call;
  call.server = server;
  call.method = "POST";
  call.target = "/.flamingoyoke/keys?service=" + options_.service;
  call.timeout = kKeyTimeout;
  client_->Send(call, [this, index, server](const HttpAnswer& answer) {
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    const auto key = json.is_object() ? json.value("key", "") : "";
    if (key.empty()) {
      OnAnswer(index, server, answer);
      return;
    }
    SendWork(index, server, key);
  });
}

auto LoadTask::SendWork(std::size_t index,
                        const NamedEndpoint& server,
                        const std::string& key) -> void {
  std::ostringstream target;
  target << options_.path << "?id=" << RequestName(index)
         << "&service_ms=" << arrivals_[index].service_ms
         << "&bytes=" << options_.answer_bytes;
  HttpCall call;
  call.server = server;
  call.body = RequestBody(index);
  call.method = call.body.empty() ? "GET" : "POST";
  call.target = target.str();
  call.timeout = options_.deadline + kAnswerGracePeriod;
  call.headers = {{"Flamingoyoke-Deadline-Ms",
                   std::to_string(ToMilliseconds(options_.deadline))}};
  if (!key.empty()) {
    call.headers.push_back({"Flamingoyoke-Key", key});
  }
  client_->Send(call, [this, index, server](const HttpAnswer& answer) {
    OnAnswer(index, server, answer);
  });
}

auto LoadTask::OnAnswer(std::size_t index,
                        const NamedEndpoint& server,
                        const HttpAnswer& answer) -> void {
  const auto& arrival = arrivals_[index];
  const auto expected = MakeAnswerBody(RequestName(index), RequestBody(index),
                                       options_.answer_bytes);
  ResultOf(phase_).Add(arrival.work_class, answer, answer.body == expected,
                       Now() - (phase_start_ + arrival.at), options_.deadline);
  if (answer.status == 0 && addresses_) {
    addresses_->MarkFailed(server);
  }
  ++answered_;
  if (answered_ == arrivals_.size()) {
    // Deferred, since EndPhase must not run inside a callback of the client.
    timers_->After(Duration::zero(), [this] { EndPhase(); });
  }
}

auto LoadTask::EndPhase() -> void {
  if (phase_ == Phase::kFleet && !options_.direct.empty()) {
    StartPhase(Phase::kDirect);
    return;
  }
  Print();
  context_->Exit();
}

auto LoadTask::NextServer() -> std::optional<NamedEndpoint> {
  if (phase_ == Phase::kFleet) {
    return addresses_->Current();
  }
  return options_.direct[next_direct_++ % options_.direct.size()];
}

auto LoadTask::RequestBody(std::size_t index) const -> std::string {
  const auto is_long = arrivals_[index].work_class == WorkClass::kLong;
  return std::string(is_long ? options_.long_body_bytes : options_.body_bytes,
                     static_cast<char>('a' + index % 26));
}

auto LoadTask::RequestName(std::size_t index) const -> std::string {
  return std::to_string(options_.seed) + "-" + std::to_string(index);
}

auto LoadTask::ResultOf(Phase phase) -> LoadResult& {
  return phase == Phase::kFleet ? fleet_ : direct_;
}

auto LoadTask::Print() const -> void {
  nlohmann::json json = {{"seed", options_.seed},
                         {"rate", options_.rate},
                         {"requests", arrivals_.size()}};
  if (!options_.entries.empty()) {
    json["fleet"] = fleet_.ToJson();
  }
  if (!options_.direct.empty()) {
    json["direct"] = direct_.ToJson();
  }
  std::cout << json.dump(2) << std::endl;
}

}  // namespace flamingoyoke::standin
