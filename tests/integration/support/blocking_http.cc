#include "integration/support/blocking_http.h"

#include <utility>

namespace flamingoyoke::integration {

auto Loopback(int port) -> NamedEndpoint {
  return ParseEndpoint("127.0.0.1:" + std::to_string(port)).value();
}

BlockingHttp::BlockingHttp()
    : client_(loop_), run_timer_(loop_.MakeTimer([this] { loop_.Quit(); })) {}

auto BlockingHttp::Send(const HttpCall& call) -> HttpAnswer {
  HttpAnswer answer;
  client_.Send(call, [&](HttpAnswer received) {
    answer = std::move(received);
    loop_.Quit();
  });
  loop_.Run();
  return answer;
}

auto BlockingHttp::StartCall(const HttpCall& call) -> void {
  const auto index = answers_.size();
  answers_.emplace_back();
  ++pending_;
  client_.Send(call, [this, index](HttpAnswer received) {
    answers_[index] = std::move(received);
    --pending_;
    if (pending_ == 0) {
      loop_.Quit();
    }
  });
}

auto BlockingHttp::WaitForAll() -> std::vector<HttpAnswer> {
  while (pending_ > 0) {
    loop_.Run();
  }
  return std::exchange(answers_, {});
}

auto BlockingHttp::RunFor(Duration time) -> void {
  run_timer_.Schedule(time);
  while (run_timer_.IsPending()) {
    loop_.Run();
  }
}

auto BlockingHttp::Get(int port, const std::string& target) -> HttpAnswer {
  HttpCall call;
  call.server = Loopback(port);
  call.target = target;
  return Send(call);
}

auto BlockingHttp::Put(int port,
                       const std::string& target,
                       const std::string& body) -> HttpAnswer {
  HttpCall call;
  call.server = Loopback(port);
  call.method = "PUT";
  call.target = target;
  call.body = body;
  return Send(call);
}

}  // namespace flamingoyoke::integration
