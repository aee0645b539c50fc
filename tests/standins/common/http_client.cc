#include "standins/common/http_client.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/time.h>

#include <utility>

namespace flamingoyoke::standin {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

auto ToTimeval(Duration duration) -> timeval {
  timeval value{};
  value.tv_sec = duration.count() / kMicrosecondsPerSecond;
  value.tv_usec = duration.count() % kMicrosecondsPerSecond;
  return value;
}

auto ToCommand(const std::string& method) -> evhttp_cmd_type {
  if (method == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (method == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return method == "PUT" ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
}

auto ReadAnswer(evhttp_request* request) -> HttpAnswer {
  HttpAnswer answer;
  if (request == nullptr) {
    return answer;
  }
  answer.status = evhttp_request_get_response_code(request);
  const auto* headers = evhttp_request_get_input_headers(request);
  for (const auto* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    answer.headers.push_back({header->key, header->value});
  }
  auto* buffer = evhttp_request_get_input_buffer(request);
  answer.body.resize(evbuffer_get_length(buffer));
  evbuffer_copyout(buffer, answer.body.data(), answer.body.size());
  return answer;
}

}  // namespace

struct HttpClient::Pending {
  HttpClient* client = nullptr;
  Endpoint server;
  Connection connection;
  Callback callback;
};

auto HttpAnswer::Header(const std::string& name) const -> std::string {
  for (const auto& header : headers) {
    if (strcasecmp(header.name.c_str(), name.c_str()) == 0) {
      return header.value;
    }
  }
  return {};
}

HttpClient::HttpClient(EventLoop& loop)
    : loop_(loop),
      free_timer_(loop.MakeTimer([this] { closing_connections_.clear(); })) {}

HttpClient::~HttpClient() {
  // Freeing a connection reports its request as failed. Clearing the client
  // keeps the callbacks from running during destruction.
  for (auto& [key, pending] : pending_) {
    pending->client = nullptr;
  }
}

auto HttpClient::Send(const HttpCall& call, Callback callback) -> void {
  auto pending = std::make_unique<Pending>();
  pending->client = this;
  pending->server = call.server.endpoint;
  pending->connection = TakeConnection(call.server);
  pending->callback = std::move(callback);
  auto* connection = pending->connection.get();
  const auto timeout = ToTimeval(call.timeout);
  evhttp_connection_set_timeout_tv(connection, &timeout);
  auto* request = evhttp_request_new(&OnDone, pending.get());
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", call.server.text.c_str());
  for (const auto& header : call.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(),
               call.body.size());
  auto* key = pending.get();
  pending_.emplace(key, std::move(pending));
  evhttp_make_request(connection, request, ToCommand(call.method),
                      call.target.c_str());
}

auto HttpClient::OnDone(evhttp_request* request, void* pending) -> void {
  auto* self = static_cast<Pending*>(pending);
  if (self->client != nullptr) {
    self->client->Finish(self, request);
  }
}

auto HttpClient::TakeConnection(const NamedEndpoint& server) -> Connection {
  auto& idle = idle_[server.endpoint];
  if (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    return connection;
  }
  return Connection(evhttp_connection_base_new(
      loop_.base(), nullptr, server.host.c_str(), server.endpoint.port));
}

auto HttpClient::Finish(Pending* pending, evhttp_request* request) -> void {
  auto node = pending_.extract(pending);
  auto& done = *node.mapped();
  auto answer = ReadAnswer(request);
  if (answer.status == 0 ||
      strcasecmp(answer.Header("Connection").c_str(), "close") == 0) {
    closing_connections_.push_back(std::move(done.connection));
    free_timer_.Schedule(Duration::zero());
  } else {
    idle_[done.server].push_back(std::move(done.connection));
  }
  done.callback(std::move(answer));
}

}  // namespace flamingoyoke::standin
