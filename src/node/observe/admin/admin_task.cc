#include "node/observe/admin/admin_task.h"

#include <event2/buffer.h>

#include <array>
#include <new>
#include <optional>
#include <string_view>
#include <utility>

#include "core/name_table.h"
#include "core/overloaded.h"
#include "node/listen_error.h"
#include "node/log.h"
#include "node/observe/admin/report_renderer.h"

namespace flamingoyoke {
namespace {

constexpr int kIdleTimeoutSeconds = 10;
constexpr ev_ssize_t kMaxHeaderBytes = 8 << 10;
constexpr ev_ssize_t kMaxBodyBytes = 1 << 10;
// Connections at a time, from the part of the control connections.
constexpr std::size_t kMaxConnections = 24;

constexpr const char* kHtml = "text/html; charset=utf-8";
constexpr const char* kCsv = "text/csv; charset=utf-8";
constexpr const char* kJson = "application/json";
constexpr const char* kText = "text/plain; version=0.0.4; charset=utf-8";

enum class Page {
  kReportHtml,
  kReportCsv,
  kReportJson,
  kMetrics,
  kLive,
  kReady,
};

}  // namespace

template <>
struct EnumNames<Page> {
  static constexpr auto kTable = std::to_array<NameEntry<Page>>({
      {Page::kReportHtml, "/report"},
      {Page::kReportCsv, "/report.csv"},
      {Page::kReportJson, "/report.json"},
      {Page::kMetrics, "/metrics"},
      {Page::kLive, "/livez"},
      {Page::kReady, "/readyz"},
  });
};
static_assert(IsDense<Page>());

namespace {

auto Reply(evhttp_request* request,
           int status,
           const char* type,
           std::string_view body) -> void {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    type);
  auto* buffer = evhttp_request_get_output_buffer(request);
  evbuffer_add(buffer, body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, nullptr);
}

auto ParsePage(const evhttp_request* request) -> std::optional<Page> {
  const auto* uri = evhttp_request_get_evhttp_uri(request);
  const auto* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  return path == nullptr ? std::nullopt : FromName<Page>(path);
}

}  // namespace

AdminTask::AdminTask(AdminConfig config) : config_(std::move(config)) {}

auto AdminTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  server_.reset(evhttp_new(context.loop().base()));
  if (!server_) {
    throw std::bad_alloc();
  }
  evhttp_set_allowed_methods(server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
  evhttp_set_timeout(server_.get(), kIdleTimeoutSeconds);
  evhttp_set_max_headers_size(server_.get(), kMaxHeaderBytes);
  evhttp_set_max_body_size(server_.get(), kMaxBodyBytes);
  connections_.emplace(context.loop(), kMaxConnections);
  connections_->Watch(server_.get());
  evhttp_set_gencb(
      server_.get(),
      [](evhttp_request* request, void* self) {
        auto* task = static_cast<AdminTask*>(self);
        task->context_->loop().Invoke(
            [task, request] { task->HandleRequest(request); });
      },
      this);
  auto* socket = evhttp_bind_socket_with_handle(
      server_.get(), config_.host.c_str(), config_.port);
  if (socket == nullptr) {
    const int error = EVUTIL_SOCKET_ERROR();
    return FailListen(config_.host + ":" + std::to_string(config_.port), error,
                      evutil_socket_error_to_string(error));
  }
  accept_pause_.emplace(context.loop(), Part::kAdmin);
  accept_pause_->Watch(evhttp_bound_socket_get_listener(socket));
  Log(Part::kAdmin, LogLevel::kInfo,
      "listening on " + config_.host + ":" + std::to_string(config_.port));
  return {};
}

auto AdminTask::Handle(Message message) -> Result<void> {
  std::visit(Overloaded{
                 [this](FleetViewChanged& changed) {
                   report_.view = std::move(changed.view);
                 },
                 [this](TrafficReported& reported) {
                   report_.services = std::move(reported.services);
                 },
                 [this](TableRefused& refused) { report_.refused = refused; },
                 [this](MetricsRendered& rendered) {
                   metrics_ = std::move(rendered.text);
                 },
             },
             message);
  return {};
}

auto AdminTask::Stop(StopMode) -> void {
  context_->Exit();
}

auto AdminTask::HandleRequest(evhttp_request* request) -> void {
  const auto page = ParsePage(request);
  if (!page) {
    Reply(request, HTTP_NOTFOUND, kText, "no such page\n");
    return;
  }
  switch (*page) {
    case Page::kReportHtml:
      Reply(request, HTTP_OK, kHtml, RenderHtml(report_));
      return;
    case Page::kReportCsv:
      Reply(request, HTTP_OK, kCsv, RenderCsv(report_));
      return;
    case Page::kReportJson:
      Reply(request, HTTP_OK, kJson, RenderJson(report_));
      return;
    case Page::kMetrics:
      Reply(request, HTTP_OK, kText, metrics_);
      return;
    case Page::kLive:
      Reply(request, HTTP_OK, kText, "live\n");
      return;
    case Page::kReady:
      ReplyReadiness(request);
      return;
  }
}

auto AdminTask::ReplyReadiness(evhttp_request* request) -> void {
  const auto is_ready =
      report_.view && report_.view->ready && !report_.view->leaving;
  if (!is_ready) {
    Reply(request, HTTP_SERVUNAVAIL, kText, "not ready\n");
    return;
  }
  Reply(request, HTTP_OK, kText, "ready\n");
}

}  // namespace flamingoyoke
