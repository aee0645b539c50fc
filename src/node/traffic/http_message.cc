#include "node/traffic/http_message.h"

#include <event2/keyvalq_struct.h>

#include <array>
#include <new>

#include "node/traffic/http_text.h"

namespace flamingoyoke {
namespace {

struct MethodName {
  evhttp_cmd_type command;
  std::string_view name;
};

constexpr auto kMethods = std::to_array<MethodName>({
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_PATCH, "PATCH"},
});

}  // namespace

auto MakeEvbuffer() -> EvbufferPtr {
  EvbufferPtr buffer(evbuffer_new());
  if (!buffer) {
    throw std::bad_alloc();
  }
  return buffer;
}

auto FindHeader(const HttpHeaders& headers, std::string_view name)
    -> std::optional<std::string_view> {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoringCase(key, name)) {
      return value;
    }
  }
  return std::nullopt;
}

auto CopyHeaders(const evkeyvalq* headers) -> HttpHeaders {
  HttpHeaders copy;
  for (const auto* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    copy.emplace_back(header->key, header->value);
  }
  return copy;
}

auto ToCommand(std::string_view method) -> evhttp_cmd_type {
  for (const auto& entry : kMethods) {
    if (entry.name == method) {
      return entry.command;
    }
  }
  return EVHTTP_REQ_GET;
}

auto ToMethod(evhttp_cmd_type command) -> std::string_view {
  for (const auto& entry : kMethods) {
    if (entry.command == command) {
      return entry.name;
    }
  }
  return {};
}

}  // namespace flamingoyoke
