#include "node/traffic/traffic_task.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "core/overloaded.h"
#include "decision/fleet/placement.h"
#include "node/log.h"
#include "node/traffic/builtin_endpoints.h"
#include "node/traffic/http_text.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

// Tick intervals with and without active requests. The idle interval is longer
// to avoid needless wakeups.
constexpr Duration kBusyTickInterval = std::chrono::milliseconds(100);
constexpr Duration kIdleTickInterval = std::chrono::seconds(1);
constexpr Duration kReportInterval = std::chrono::seconds(1);
// Maximum time after a pause during which no addresses are returned. A ready
// fleet view ends it early.
constexpr Duration kMaxResumeDelay = std::chrono::seconds(2);
// Maximum time to send the last responses of a hard stop.
constexpr Duration kFlushTimeout = std::chrono::seconds(1);
// Maximum body size of a request to a builtin endpoint. The body is ignored.
constexpr std::uint64_t kMaxBuiltinBodyBytes = 1024;

auto IsBuiltinPath(std::string_view path) -> bool {
  return path.substr(0, kBuiltinPathPrefix.size()) == kBuiltinPathPrefix;
}

// Returns the service that a message refers to, or null if it has none.
auto MessageService(const PeerMessage& message) -> const ServiceId* {
  return std::visit(
      [](const auto& typed) -> const ServiceId* {
        if constexpr (requires { typed.service; }) {
          return &typed.service;
        } else {
          return nullptr;
        }
      },
      message);
}

}  // namespace

TrafficTask::TrafficTask(TrafficConfig config, TrafficOutbox outbox)
    : config_(std::move(config)),
      answer_memory_(config_.answer_memory_bytes),
      descriptor_watch_(Part::kTraffic, config_.caller_connections),
      target_connections_(Part::kTraffic,
                          DescriptorUse::kTargets,
                          kUnlimitedConnections),
      outbox_(outbox),
      random_(config_.seed),
      ledger_(config_.vm, config_.incarnation, config_.key_limits),
      admission_(ledger_, Random(random_.Next()), config_.trace_sample_rate),
      spans_(outbox_.telemetry,
             Random(random_.Next()),
             config_.spans_per_second) {}

TrafficTask::~TrafficTask() {
  // Requests refer to the server's body budget and connections, so they are
  // destroyed before the server.
  services_.clear();
}

auto TrafficTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  auto& loop = context.loop();
  CallerServer::Limits limits;
  limits.connection = {config_.request_limits, config_.receive_timeout,
                       config_.caller_idle_timeout,
                       config_.caller_write_timeout};
  limits.connections = config_.caller_connections;
  limits.body_budget_bytes = config_.body_budget_bytes;
  limits.memory_bytes = config_.caller_memory_bytes;
  server_ = std::make_unique<CallerServer>(
      loop, limits,
      CallerServer::Handler{
          [this](const ScannedHead& head) { return CheckHead(head); },
          [this](std::unique_ptr<CallerExchange> exchange) {
            OnRequest(std::move(exchange));
          },
          [this] { stop_->ExitIfDone(); },
          [this] {
            return OtherMemoryHeld{answer_memory_.used(),
                                   config_.answer_memory_bytes};
          }});
  BOOST_LEAF_CHECK(server_->Listen(config_.listen_host, config_.listen_port));
  descriptor_watch_.Update(server_->part(), target_connections_);
  // Prompt, as a tick that is late by a busy loop would look like a pause.
  tick_ = loop.MakePromptTimer([this] { OnTick(); });
  stop_.emplace(
      loop, *server_,
      StopProcedure::Limits{config_.address_ttl + config_.drain_margin,
                            config_.shutdown_hard_limit, kFlushTimeout},
      StopProcedure::Hooks{[this] { return active(); }, [this] { FailAll(); },
                           [this] { context_->Exit(); }});
  ScheduleTick();
  outbox_.fleet.Post(CallerServerStarted{});
  return {};
}

auto TrafficTask::Handle(Message message) -> Result<void> {
  CheckPause();
  std::visit([this](auto& typed) { On(typed); }, message);
  return {};
}

auto TrafficTask::On(FleetViewChanged& changed) -> void {
  if (!changed.view) {
    return;
  }
  const bool table_changed = !view_ || view_->table != changed.view->table;
  NotifyLostPeers(*changed.view);
  view_ = std::move(changed.view);
  has_been_ready_ = has_been_ready_ || view_->ready;
  if (view_->ready) {
    resume_until_.reset();
  }
  if (table_changed) {
    routes_ = RouteTable(view_->table);
  }
  ConfigureServices();
  has_unreported_changes_ = true;
}

auto TrafficTask::On(PeerMessageReceived& received) -> void {
  const auto* id = MessageService(received.envelope.message);
  const auto* row = id == nullptr ? nullptr : routes_.FindService(*id);
  if (row == nullptr) {
    return;
  }
  GetOrCreateService(*row).runner->OnPeerMessage(received.envelope.sender,
                                                 received.envelope.message);
  has_unreported_changes_ = true;
}

auto TrafficTask::ConfigureServices() -> void {
  for (auto entry = services_.begin(); entry != services_.end();) {
    auto& runner = *entry->second.runner;
    const auto* row = routes_.FindService(entry->first);
    if (row != nullptr) {
      runner.Configure(PlacementFor(*row));
      ++entry;
      continue;
    }
    // Without targets, queued requests fail and those in flight complete.
    ServiceRow removed = runner.row();
    removed.targets.clear();
    runner.Configure({std::move(removed), {}, {}});
    entry = runner.active() == 0 ? services_.erase(entry) : std::next(entry);
  }
  for (const auto& [id, placement] : view_->placements) {
    if (const auto* row = routes_.FindService(id)) {
      GetOrCreateService(*row);
    }
  }
}

auto TrafficTask::NotifyLostPeers(const FleetView& view) -> void {
  std::unordered_set<VmId> lost(view.cut_off.begin(), view.cut_off.end());
  for (const auto& member : view.members) {
    if (member.liveness != Liveness::kAlive && member.id != config_.vm) {
      lost.insert(member.id);
    }
  }
  for (const auto& peer : lost) {
    if (lost_peers_.count(peer) > 0) {
      continue;
    }
    for (auto& [id, service] : services_) {
      service.runner->OnPeerLost(peer);
    }
  }
  lost_peers_ = std::move(lost);
}

auto TrafficTask::GetOrCreateService(const ServiceRow& row) -> Service& {
  const auto found = services_.find(row.service);
  if (found != services_.end()) {
    return found->second;
  }
  auto& service =
      services_
          .try_emplace(row.service,
                       Service{nullptr, ServiceMetrics(row.service)})
          .first->second;
  service.runner = MakeRunner(row.service);
  service.runner->Configure(PlacementFor(row));
  return service;
}

auto TrafficTask::MakeRunner(const ServiceId& id)
    -> std::unique_ptr<ServiceRunner> {
  ServiceRunner::Hooks hooks;
  hooks.check_pause = [this] { CheckPause(); };
  hooks.on_key_event = [this](const KeyEvent& event) {
    ledger_.OnEvent(event, Now());
  };
  hooks.on_request_ended = [this,
                            id](const ServiceRunner::RequestRecord& record) {
    auto& metrics = services_.at(id).metrics;
    metrics.OnRequest(record.ended - record.request.arrived);
    metrics.OnWait(
        record.request.work_class,
        record.request.started.value_or(record.ended) - record.request.arrived,
        record.ended);
    spans_.OnRequest(id, record);
    has_unreported_changes_ = true;
  };
  hooks.on_attempt_ended = [this,
                            id](const ServiceRunner::AttemptRecord& record) {
    services_.at(id).metrics.OnAttempt(record.ended - record.started);
    spans_.OnAttempt(id, record);
  };
  hooks.send = [this](PeerMessageToSend message) {
    outbox_.mesh.Post(std::move(message));
  };
  return std::make_unique<ServiceRunner>(
      context_->loop(), config_, answer_memory_, target_connections_,
      Random(random_.Next()), std::move(hooks));
}

auto TrafficTask::PlacementFor(const ServiceRow& row) const
    -> ServicePlacement {
  const auto known = view_->placements.find(row.service);
  const bool is_home = known != view_->placements.end();
  const auto placement =
      is_home ? known->second : PlacementOf(row, view_->members);
  ServicePlacement result{row, {}, {}};
  for (const auto& id : placement.home) {
    const auto member =
        std::find_if(view_->members.begin(), view_->members.end(),
                     [&](const Member& m) { return m.id == id; });
    result.home.push_back({id, member == view_->members.end()
                                   ? FailureDomainId()
                                   : member->failure_domain});
  }
  if (!is_home) {
    return result;
  }
  const auto count = std::min(placement.owners.size(), row.targets.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (placement.owners[i] == config_.vm) {
      result.owned.push_back(row.targets[i].id);
    }
  }
  return result;
}

auto TrafficTask::CheckHead(const ScannedHead& head) const
    -> std::variant<BodyAllowance, ErrorKind> {
  const auto path = PathOf(head.target);
  if (IsBuiltinPath(path)) {
    return BodyAllowance{kMaxBuiltinBodyBytes};
  }
  if (const auto* row = routes_.Find(path)) {
    return BodyAllowance{row->max_body_bytes};
  }
  const bool has_body = head.chunked || head.content_length.value_or(0) > 0;
  if (has_body) {
    return view_ && view_->table ? ErrorKind::kNoRoute : ErrorKind::kNotReady;
  }
  return BodyAllowance{0};
}

auto TrafficTask::OnRequest(std::unique_ptr<CallerExchange> exchange) -> void {
  CheckPause();
  const auto path = PathOf(exchange->head().target);
  if (IsBuiltinPath(path)) {
    HandleBuiltinRequest(*exchange);
    return;
  }
  if (stop_->mode() == StopMode::kHard) {
    exchange->ReplyError(ErrorKind::kLeaving);
    return;
  }
  if (!view_ || !view_->table || !has_been_ready_) {
    exchange->ReplyError(ErrorKind::kNotReady);
    return;
  }
  const auto* row = routes_.Find(path);
  if (row == nullptr) {
    exchange->ReplyError(ErrorKind::kNoRoute);
    return;
  }
  auto request = admission_.Admit(
      std::move(exchange), *row, *view_,
      [this](TimePoint deadline) { return stop_->Admits(deadline); },
      context_->loop().QueueDelay(), Now());
  if (!request) {
    return;
  }
  auto& service = GetOrCreateService(*row);
  const bool was_idle = active() == 0;
  service.runner->Submit(std::move(*request));
  if (was_idle) {
    ScheduleTick();
  }
}

auto TrafficTask::HandleBuiltinRequest(CallerExchange& exchange) -> void {
  const auto now = Now();
  const bool resuming = resume_until_ && now < *resume_until_;
  HandleBuiltinEndpoint(
      exchange,
      {.view = view_.get(),
       .routes = routes_,
       .ledger = ledger_,
       .key_limits = config_.key_limits,
       .address_ttl = config_.address_ttl,
       .addresses_known =
           view_ && !resuming && (view_->ready || view_->leaving),
       .leaving = stop_->mode() != StopMode::kNone || (view_ && view_->leaving),
       .now = now},
      random_);
}

auto TrafficTask::CheckPause() -> void {
  const auto now = Now();
  if (!late_tick_detector_.DetectPause(now)) {
    return;
  }
  Log(Part::kTraffic, LogLevel::kWarning, "the process was paused");
  resume_until_ = now + kMaxResumeDelay;
  for (auto& [id, service] : services_) {
    service.runner->OnResumed();
  }
}

auto TrafficTask::OnTick() -> void {
  CheckPause();
  for (auto& [id, service] : services_) {
    service.runner->SyncOwnedTargets();
  }
  if (has_unreported_changes_ && Now() - last_report_ >= kReportInterval) {
    SendReports();
  }
  // A request with an idempotency key may end after its caller disconnected, in
  // which case no response is sent that would trigger this check.
  stop_->ExitIfDone();
  ScheduleTick();
}

auto TrafficTask::ScheduleTick() -> void {
  const auto delay = active() > 0 ? kBusyTickInterval : kIdleTickInterval;
  const auto due = Now() + delay;
  // A pending tick is never postponed: a series of requests that each arrive at
  // an idle node would otherwise delay it indefinitely.
  if (tick_.IsPending() && tick_due_ <= due) {
    return;
  }
  tick_due_ = due;
  late_tick_detector_.ExpectTick(due);
  tick_.Schedule(delay);
}

auto TrafficTask::SendReports() -> void {
  const auto now = Now();
  last_report_ = now;
  has_unreported_changes_ = active() > 0;
  TrafficReported reported;
  MetricsReported metrics{.task = "traffic", .samples = {}};
  const auto revision =
      view_ && view_->table ? view_->table->revision : Revision();
  for (auto& [id, service] : services_) {
    auto report = service.runner->Report(revision);
    report.short_wait_p99 = service.metrics.WaitP99(WorkClass::kShort, now);
    report.long_wait_p99 = service.metrics.WaitP99(WorkClass::kLong, now);
    service.metrics.AppendTo(metrics.samples, report);
    reported.services.push_back(std::move(report));
  }
  const auto add_gauge = [&](const char* name, const char* help, double value) {
    MetricSample sample;
    sample.name = name;
    sample.help = help;
    sample.is_counter = false;
    sample.value = value;
    metrics.samples.push_back(std::move(sample));
  };
  add_gauge("flamingoyoke_request_body_bytes",
            "Bodies that are received or stored.",
            static_cast<double>(server_->body_bytes()));
  add_gauge("flamingoyoke_key_ledger_entries", "Idempotency keys in memory.",
            static_cast<double>(ledger_.size()));
  server_->memory().AppendTo(metrics.samples);
  descriptor_watch_.AppendTo(server_->part(), target_connections_,
                             metrics.samples);
  // Metrics are posted first, so that whoever receives the report can rely on
  // them being posted.
  outbox_.telemetry.Post(std::move(metrics));
  outbox_.admin.Post(std::move(reported));
}

auto TrafficTask::active() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [id, service] : services_) {
    count += service.runner->active();
  }
  return count;
}

auto TrafficTask::Stop(StopMode mode) -> void {
  stop_->Start(mode);
}

auto TrafficTask::FailAll() -> void {
  for (auto& [id, service] : services_) {
    service.runner->FailAll();
  }
}

}  // namespace flamingoyoke
