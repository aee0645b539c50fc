#include "integration/support/blocking_http.h"

#include <utility>

namespace flamingoyoke::integration {

auto Loopback(int port) -> NamedEndpoint {
  return ParseEndpoint("127.0.0.1:" + std::to_string(port)).value();
}

BlockingHttp::BlockingHttp()
    : client_(loop_), limit_(loop_.MakeTimer([this] { loop_.Quit(); })) {}

auto BlockingHttp::Send(const HttpCall& call) -> HttpAnswer {
  HttpAnswer answer;
  client_.Send(call, [&](HttpAnswer received) {
    answer = std::move(received);
    loop_.Quit();
  });
  loop_.Run();
  return answer;
}

auto BlockingHttp::Begin(const HttpCall& call) -> void {
  const auto index = answers_.size();
  answers_.emplace_back();
  ++open_;
  client_.Send(call, [this, index](HttpAnswer received) {
    answers_[index] = std::move(received);
    --open_;
    if (open_ == 0) {
      loop_.Quit();
    }
  });
}

auto BlockingHttp::WaitForAll() -> std::vector<HttpAnswer> {
  while (open_ > 0) {
    loop_.Run();
  }
  return std::exchange(answers_, {});
}

auto BlockingHttp::RunFor(Duration time) -> void {
  limit_.Schedule(time);
  while (limit_.IsPending()) {
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
