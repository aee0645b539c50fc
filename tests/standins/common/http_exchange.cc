#include "standins/common/http_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <charconv>

namespace flamingoyoke::standin {
namespace {

constexpr int kServiceUnavailable = 503;

// Owns the parsed parameters of a query.
class QueryParameters {
 public:
  explicit QueryParameters(const char* query) {
    TAILQ_INIT(&values_);
    if (query != nullptr) {
      evhttp_parse_query_str(query, &values_);
    }
  }
  ~QueryParameters() { evhttp_clear_headers(&values_); }
  QueryParameters(const QueryParameters&) = delete;
  auto operator=(const QueryParameters&) -> QueryParameters& = delete;

  [[nodiscard]] auto Find(const char* name) const -> const char* {
    return evhttp_find_header(&values_, name);
  }

 private:
  evkeyvalq values_{};
};

auto ToOptional(const char* text) -> std::optional<std::string> {
  return text == nullptr ? std::nullopt : std::optional<std::string>(text);
}

}  // namespace

auto HttpExchange::UnansweredDeleter::operator()(evhttp_request* request) const
    -> void {
  evhttp_send_reply(request, kServiceUnavailable, nullptr, nullptr);
}

HttpExchange::HttpExchange(evhttp_request* request) : request_(request) {}

auto HttpExchange::Method() const -> std::string {
  switch (evhttp_request_get_command(request_.get())) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

auto HttpExchange::Path() const -> std::string {
  const auto* path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request_.get()));
  return path == nullptr ? "" : path;
}

auto HttpExchange::Query(const char* name) const -> std::optional<std::string> {
  const QueryParameters parameters(
      evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request_.get())));
  return ToOptional(parameters.Find(name));
}

auto HttpExchange::Number(const char* name, double fallback) const -> double {
  const auto text = Query(name);
  if (!text) {
    return fallback;
  }
  double value = 0;
  const auto parsed =
      std::from_chars(text->data(), text->data() + text->size(), value);
  return parsed.ec == std::errc() ? value : fallback;
}

auto HttpExchange::Header(const char* name) const
    -> std::optional<std::string> {
  return ToOptional(evhttp_find_header(
      evhttp_request_get_input_headers(request_.get()), name));
}

auto HttpExchange::AllHeaders(const char* name) const
    -> std::vector<std::string> {
  std::vector<std::string> values;
  const auto* headers = evhttp_request_get_input_headers(request_.get());
  for (const auto* each = headers->tqh_first; each != nullptr;
       each = each->next.tqe_next) {
    if (evutil_ascii_strcasecmp(each->key, name) == 0) {
      values.emplace_back(each->value);
    }
  }
  return values;
}

auto HttpExchange::Body() const -> std::string {
  auto* buffer = evhttp_request_get_input_buffer(request_.get());
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

auto HttpExchange::IsAbandoned() const -> bool {
  // evhttp does not read while an answer is pending, so it would notice a
  // closed connection only when it writes.
  auto* connection = evhttp_request_get_connection(request_.get());
  if (connection == nullptr) {
    return true;
  }
  const auto descriptor =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  char byte = 0;
  return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

auto HttpExchange::Reply(const HttpReply& reply) -> void {
  auto* request = request_.release();
  auto* headers = evhttp_request_get_output_headers(request);
  for (const auto& header : reply.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  auto* buffer = evhttp_request_get_output_buffer(request);
  evbuffer_add(buffer, reply.body.data(), reply.body.size());
  evhttp_send_reply(request, reply.status, nullptr, nullptr);
}

auto HttpExchange::Abort() -> void {
  // Frees the request as well.
  evhttp_connection_free(evhttp_request_get_connection(request_.release()));
}

auto HttpExchange::Reset() -> void {
  // evhttp shuts the socket down before it closes it, so that a reset by
  // SO_LINGER would follow an orderly end.
  const sockaddr none{.sa_family = AF_UNSPEC, .sa_data = {}};
  auto* connection = evhttp_request_get_connection(request_.get());
  static_cast<void>(
      connect(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
              &none, sizeof(none)));
  Abort();
}

auto HttpExchange::SendBytes(const std::string& bytes) -> void {
  auto* connection = evhttp_request_get_connection(request_.get());
  send(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
       bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

auto HttpExchange::Complete() -> void {
  auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(request_.get())));
  Reply({});
  // libevent freezes the start of its output after the first write.
  evbuffer_unfreeze(output, 1);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_freeze(output, 1);
}

auto HttpExchange::SetIdleTimeout(Duration timeout) -> void {
  const timeval time{.tv_sec = 0, .tv_usec = timeout.count()};
  evhttp_connection_set_timeout_tv(
      evhttp_request_get_connection(request_.get()), &time);
}

}  // namespace flamingoyoke::standin
