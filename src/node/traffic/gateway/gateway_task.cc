#include "node/traffic/gateway/gateway_task.h"

#include <event2/buffer.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "core/answer_table.h"
#include "core/overloaded.h"
#include "decision/gateway/overload_limit.h"
#include "decision/gateway/retry_slack.h"
#include "decision/peer/peer_message_kind.h"
#include "node/log.h"
#include "node/traffic/caller_headers.h"
#include "node/traffic/error_response.h"
#include "node/traffic/gateway/gateway_headers.h"
#include "node/traffic/gateway/gateway_metrics.h"
#include "node/traffic/http_text.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

// Ticks are rare while no request is active so that an idle node sleeps.
constexpr Duration kBusyTick = std::chrono::milliseconds(100);
constexpr Duration kIdleTick = std::chrono::seconds(1);
constexpr Duration kReportPeriod = std::chrono::seconds(1);
// Shorter delays of the loop occur on VMs that have enough processor.
constexpr Duration kMinLoopDelay = std::chrono::milliseconds(5);
constexpr Duration kSummaryPeriod = std::chrono::seconds(5);
// Maximum time to flush the last answers of a hard stop.
constexpr Duration kFlushLimit = std::chrono::milliseconds(200);
// Maximum body size of a status request, whose body is ignored.
constexpr std::uint64_t kStatusBodyBytes = 1024;
constexpr int kOk = 200;
constexpr std::uint32_t kDefaultConnections = 64;
// Estimated size of the headers of a request and its answer.
constexpr std::uint64_t kTypicalHeadBytes = 600;
constexpr double kMillicoresPerCore = 1000;
// Number of addresses returned to a caller. If half of the entry VMs fail at
// once, one in sixteen callers has no working address until it asks again.
constexpr std::size_t kAddressesPerCaller = 4;

auto DescribeState(const RegisteredTarget& target) -> std::string {
  if (target.leaving) {
    return "leaving";
  }
  return target.warming ? "warming" : "ready";
}

}  // namespace

GatewayTask::GatewayTask(GatewayConfig config, TrafficOutbox outbox)
    : config_(std::move(config)),
      outbox_(outbox),
      random_(config_.traffic.seed),
      load_(config_.capacity, config_.request_processor_time),
      answer_memory_(config_.traffic.answer_memory_bytes),
      descriptor_watch_(Part::kGateway, config_.traffic.caller_connections),
      target_connections_(Part::kGateway,
                          DescriptorUse::kTargets,
                          kUnlimitedConnections),
      request_log_(config_.max_request_lines_per_second) {}

GatewayTask::~GatewayTask() {
  // Requests hold shares of the server's body budget and its connections.
  services_.clear();
  quotas_.reset();
}

auto GatewayTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  auto& loop = context.loop();
  const auto& traffic = config_.traffic;
  CallerServer::Limits limits;
  limits.connection = {traffic.request_limits, traffic.receive_timeout,
                       traffic.caller_idle_timeout,
                       traffic.caller_write_timeout};
  limits.connections = traffic.caller_connections;
  limits.body_budget_bytes = traffic.body_budget_bytes;
  limits.memory_bytes = traffic.caller_memory_bytes;
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
                                   config_.traffic.answer_memory_bytes};
          }});
  for (const auto& address : config_.status_addresses) {
    BOOST_LEAF_CHECK(server_->Listen(address.host, address.endpoint.port));
  }
  // Must be last, because port() returns the port of the last socket.
  BOOST_LEAF_CHECK(server_->Listen(traffic.listen_host, traffic.listen_port));
  descriptor_watch_.Update(server_->part(), target_connections_);
  quotas_ = MakeQuotaRunner();
  // Prompt, as a tick that is late by a busy loop would look like a pause.
  tick_ = loop.MakePromptTimer([this] { OnTick(); });
  batch_timer_ = loop.MakePromptTimer([this] { OnBatchDue(); });
  stop_.emplace(
      loop, *server_,
      StopProcedure::Limits{
          config_.traffic.address_ttl + config_.traffic.drain_margin,
          config_.traffic.shutdown_hard_limit, kFlushLimit},
      StopProcedure::Hooks{[this] { return active(); }, [this] { FailAll(); },
                           [this] { context_->Exit(); }});
  ScheduleTick();
  outbox_.fleet.Post(CallerServerStarted{});
  Log(Part::kGateway, LogLevel::kInfo,
      "listening on " + traffic.listen_host + ":" + std::to_string(port()));
  return {};
}

auto GatewayTask::Handle(Message message) -> Result<void> {
  const auto* received = std::get_if<PeerMessageReceived>(&message);
  const WorkTimes::Scope work(work_times_,
                              received != nullptr
                                  ? ToName(KindOf(received->envelope.message))
                                  : ToName(WorkKind::kFleetView));
  CheckPause();
  std::visit([this](auto& typed) { OnMessage(typed); }, message);
  return {};
}

auto GatewayTask::OnMessage(FleetViewChanged& changed) -> void {
  if (!changed.view) {
    return;
  }
  const auto before = std::exchange(view_, std::move(changed.view));
  has_been_ready_ = has_been_ready_ || view_->ready;
  const bool routing_changed = !before || before->routing != view_->routing;
  if (routing_changed) {
    routes_ = RouteIndex(view_->routing);
    teams_ = TeamIndex(view_->routing);
    RecheckTeams();
  }
  quotas_->OnView(*view_);
  if (!before || before->ready != view_->ready) {
    Log(Part::kGateway, LogLevel::kInfo,
        view_->ready ? "accepts callers" : "accepts no callers");
  }
  if (!before || before->entries != view_->entries) {
    std::string entries;
    for (const auto& entry : view_->entries) {
      entries += " " + entry.vm.value() + "*" + std::to_string(entry.weight);
    }
    Log(Part::kGateway, LogLevel::kInfo, "entry VMs:" + entries);
  }
  if (view_->IsEntry(view_->self) &&
      (!before || before->linked_entries != view_->linked_entries)) {
    Log(Part::kGateway, LogLevel::kInfo,
        "exchanges outcomes with " +
            std::to_string(view_->linked_entries.size()) + " of " +
            std::to_string(view_->entries.size() - 1) + " other entry VMs");
  }
  const bool registry_changed = !before || before->registry != view_->registry;
  if (registry_changed && view_->registry) {
    LogRegistryChanges(before ? before->registry.get() : nullptr,
                       *view_->registry);
  }
  if (!before || before->linked_entries != view_->linked_entries) {
    Batch(BatchPeersChanged{view_->linked_entries});
  }
  const auto owners = OwningGateways(view_->entries, view_->members);
  const bool owners_changed = owners != owners_;
  owners_ = owners;
  if (routing_changed || before->registry != view_->registry ||
      before->entries.size() != view_->entries.size() || owners_changed ||
      before->linked_entries != view_->linked_entries ||
      min_retries_ != LocalMinRetries()) {
    ConfigureServices();
  }
}

auto GatewayTask::OnMessage(PeerMessageReceived& received) -> void {
  const auto& [sender, incarnation, message] = received.envelope;
  if (const auto* report = std::get_if<OutcomeReport>(&message)) {
    Batch(BatchPeerHeard{sender, incarnation, report->reads_batches});
    OnReport(sender, *report);
    return;
  }
  if (const auto* batch = std::get_if<OutcomeBatch>(&message)) {
    Batch(BatchPeerHeard{sender, incarnation, true});
    for (const auto& report : batch->reports) {
      OnReport(sender, report);
    }
    return;
  }
  quotas_->OnPeerMessage(received.envelope);
}

auto GatewayTask::OnReport(const VmId& peer, const OutcomeReport& report)
    -> void {
  const auto found = services_.find(report.service);
  if (found != services_.end()) {
    found->second->OnPeerReport(peer, report);
  }
}

auto GatewayTask::Batch(const BatchEvent& event) -> void {
  const auto now = Now();
  for (auto& action : batcher_.OnEvent(event, now)) {
    std::visit(
        Overloaded{
            [this](SendToPeer& order) {
              outbox_.mesh.Post(PeerMessageToSend{std::move(order)});
            },
            [&](const WakeBatcherAt& wake) {
              batch_timer_.Schedule(std::max(wake.at - now, Duration::zero()));
            },
        },
        action);
  }
}

auto GatewayTask::OnBatchDue() -> void {
  const WorkTimes::Scope work(work_times_, ToName(WorkKind::kTimer));
  for (auto& [id, runner] : services_) {
    runner->InviteReport();
  }
  Batch(BatchDue{});
}

auto GatewayTask::DescribeRunning(const RegisteredTarget& target) const
    -> std::string {
  const auto runner = services_.find(target.service);
  const auto count = runner == services_.end()
                         ? 0
                         : runner->second->running_attempts(target.id);
  return count == 0 ? "" : "(" + std::to_string(count) + " attempts running)";
}

auto GatewayTask::LogRegistryChanges(const Registry* before,
                                     const Registry& after) const -> void {
  std::unordered_map<TargetId, const RegisteredTarget*> known;
  if (before != nullptr) {
    for (const auto& target : before->targets) {
      known.emplace(target.id, &target);
    }
  }
  std::string changes;
  for (const auto& target : after.targets) {
    const auto found = known.find(target.id);
    if (found == known.end() || !IsSameRegistration(*found->second, target)) {
      changes += " " + target.id.value() + "=" + DescribeState(target) +
                 (target.leaving ? DescribeRunning(target) : "");
    }
    if (found != known.end()) {
      known.erase(found);
    }
  }
  for (const auto& [id, target] : known) {
    changes += " " + id.value() + "=gone" + DescribeRunning(*target);
  }
  Log(Part::kGateway, LogLevel::kInfo,
      "registry revision " + std::to_string(after.revision.value()) + " with " +
          std::to_string(after.targets.size()) + " targets:" + changes);
}

auto GatewayTask::LocalMinRetries() const -> std::optional<std::uint64_t> {
  if (!config_.retry_slack) {
    return std::nullopt;
  }
  return LocalRetrySlack(*config_.retry_slack,
                         {.entries = view_->entries.size(),
                          .members = view_->members.size(),
                          .is_entry = view_->IsEntry(config_.traffic.vm)});
}

auto GatewayTask::ConfigureServices() -> void {
  if (!view_->routing || !view_->registry) {
    return;
  }
  std::unordered_map<ServiceId, std::vector<RegisteredTarget>> targets;
  for (const auto& target : view_->registry->targets) {
    targets[target.service].push_back(target);
  }
  const auto gateways = std::max<std::size_t>(view_->entries.size(), 1);
  min_retries_ = LocalMinRetries();
  std::unordered_map<ServiceId, std::uint32_t> connections;
  for (const auto& service : view_->routing->services) {
    connections[service.id] = service.max_connections;
    RunnerOf(service.id);
  }
  for (auto entry = services_.begin(); entry != services_.end();) {
    const auto known = connections.find(entry->first);
    const bool is_gone =
        known == connections.end() && entry->second->active() == 0;
    if (is_gone) {
      entry = services_.erase(entry);
      continue;
    }
    // A service that was removed keeps its targets for requests in flight.
    entry->second->Configure(
        targets[entry->first], view_->linked_entries, gateways,
        known == connections.end() ? kDefaultConnections : known->second,
        min_retries_, owners_);
    ++entry;
  }
}

auto GatewayTask::RecheckTeams() -> void {
  const auto is_allowed = [this](GatewayRequest& request) {
    return IsStillAllowed(request);
  };
  quotas_->Recheck(is_allowed);
  for (auto& [id, runner] : services_) {
    runner->Recheck(is_allowed);
  }
}

auto GatewayTask::IsStillAllowed(GatewayRequest& request) const -> bool {
  if (!teams_.requires_keys()) {
    return true;
  }
  const auto& names = config_.dialect.headers;
  const auto& head = request.exchange->head();
  const auto caller = FindCallerTeam(names, head.headers, teams_);
  const auto* route = routes_.Find(
      FindHeader(head.headers, "Host").value_or(""), PathOf(head.target));
  // A route that was removed leaves accepted requests to it as they were.
  const bool needs_key =
      route == nullptr ? !request.team.empty() : !route->is_public;
  if (needs_key && (caller.problem ||
                    (!request.team.empty() && request.team != caller.id()))) {
    request.history += " key=" + std::string(ToName(KeyProblem::kRevoked));
    return false;
  }
  // A request to a public route goes on without the team that it has lost.
  ReplaceTeamHeaders(names, caller.id(), request.forwarded.headers);
  request.team = caller.id();
  return true;
}

auto GatewayTask::RunnerOf(const ServiceId& service) -> PoolRunner& {
  auto& runner = services_[service];
  if (runner) {
    return *runner;
  }
  PoolRunner::Hooks hooks;
  hooks.check_pause = [this] { CheckPause(); };
  hooks.on_request_ended = [this, service](const PoolRunner::Record& record) {
    OnRequestEnded(service, record);
  };
  hooks.send = [this](const SendToPeer& order) {
    // Pools send nothing else to peers.
    Batch(BatchReportMade{order.peer, std::get<OutcomeReport>(order.message)});
  };
  hooks.on_received = [this](std::size_t bytes) { received_bytes_ += bytes; };
  runner = std::make_unique<PoolRunner>(
      context_->loop(), config_,
      PoolRunner::Shared{answer_memory_, target_connections_, work_times_},
      service, Random(random_.Next()), std::move(hooks));
  return *runner;
}

auto GatewayTask::CheckHead(const ScannedHead& head) const
    -> std::variant<BodyAllowance, ErrorKind> {
  const auto path = PathOf(head.target);
  if (path == config_.dialect.readiness_path ||
      path == config_.dialect.addresses_path) {
    return BodyAllowance{kStatusBodyBytes};
  }
  if (!view_ || !view_->routing) {
    const bool has_body = head.chunked || head.content_length.value_or(0) > 0;
    if (has_body) {
      return ErrorKind::kNotReady;
    }
    return BodyAllowance{0};
  }
  return BodyAllowance{view_->routing->limits.max_body_bytes};
}

auto GatewayTask::OnRequest(std::unique_ptr<CallerExchange> exchange) -> void {
  const WorkTimes::Scope work(work_times_, ToName(WorkKind::kRequest));
  CheckPause();
  if (AnswerStatusRequest(*exchange)) {
    return;
  }
  if (stop_->mode() == StopMode::kHard) {
    exchange->ReplyError(ErrorKind::kLeaving);
    return;
  }
  if (!has_been_ready_ || !view_->routing || !view_->registry) {
    exchange->ReplyError(ErrorKind::kNotReady);
    return;
  }
  const auto& head = exchange->head();
  const auto host = FindHeader(head.headers, "Host").value_or("");
  const auto* route = routes_.Find(host, PathOf(head.target));
  if (route == nullptr) {
    Log(Part::kGateway, LogLevel::kInfo,
        "no route for host " + std::string(host) + " path " +
            std::string(PathOf(head.target)) + " in revision " +
            std::to_string(view_->routing->revision.value()) +
            (view_->has_outdated_routes ? ", which may be outdated" : ""));
    // A caller that gets kNoRoute doesn't ask again.
    exchange->ReplyError(view_->has_outdated_routes ? ErrorKind::kNotReady
                                                    : ErrorKind::kNoRoute);
    return;
  }
  Submit(std::move(exchange), *route);
}

auto GatewayTask::AnswerStatusRequest(CallerExchange& exchange) -> bool {
  const auto path = PathOf(exchange.head().target);
  if (path == config_.dialect.addresses_path) {
    AnswerAddressRequest(exchange);
    return true;
  }
  if (path != config_.dialect.readiness_path) {
    return false;
  }
  if (IsReady()) {
    exchange.Reply({kOk, "OK", {}}, "");
  } else {
    exchange.ReplyError(ErrorKind::kNotReady);
  }
  return true;
}

auto GatewayTask::AnswerAddressRequest(CallerExchange& exchange) -> void {
  std::vector<std::string> addresses;
  if (IsReady()) {
    for (const auto& vm : EntriesForCaller(
             view_->entries, exchange.caller_host(), kAddressesPerCaller)) {
      const auto member =
          std::find_if(view_->members.begin(), view_->members.end(),
                       [&](const Member& each) { return each.id == vm; });
      if (member != view_->members.end() && !member->address.empty()) {
        addresses.push_back(member->address);
      }
    }
  }
  if (addresses.empty()) {
    exchange.ReplyError(ErrorKind::kNotReady);
    return;
  }
  exchange.Reply(
      {kOk, "OK", {{"Content-Type", "application/json"}}},
      config_.dialect.write_addresses(addresses, config_.traffic.address_ttl));
}

auto GatewayTask::Submit(std::unique_ptr<CallerExchange> exchange,
                         const Route& route) -> void {
  const auto& names = config_.dialect.headers;
  const auto caller = ReadGatewayCaller(names, exchange->head().headers);
  const auto now = Now();
  const auto waited = context_->loop().QueueDelay();
  GatewayRequest request;
  request.id = RequestId(++last_request_);
  received_bytes_ += kTypicalHeadBytes + evbuffer_get_length(exchange->body());
  request.caller_id = caller.request_id;
  request.forwarded = MakeGatewayHead(names, exchange->head(),
                                      evbuffer_get_length(exchange->body()));
  request.route = route.name;
  const auto team = FindCallerTeam(names, exchange->head().headers, teams_);
  if (teams_.requires_keys()) {
    request.team = team.id();
    ReplaceTeamHeaders(names, request.team, request.forwarded.headers);
  }
  request.repeatability = route.repeatability;
  // The caller counts its deadline from before the request waited here.
  request.arrived = now - waited;
  request.deadline =
      request.arrived +
      std::min(caller.time_left.value_or(route.timeout), route.timeout);
  request.objective = route.objective;
  request.priority = team.team == nullptr
                         ? route.priority
                         : team.team->priority.value_or(route.priority);
  request.max_attempts = std::max<std::uint32_t>(1, route.max_attempts);
  const auto traceparent =
      FindHeader(exchange->head().headers, kTraceHeader).value_or("");
  const auto parent = ParseTraceparent(TrimSpace(traceparent));
  request.trace =
      parent ? StartSpan(*parent, random_)
             : StartTrace(random_,
                          random_.Unit() < config_.traffic.trace_sample_rate);
  request.exchange = std::move(exchange);
  if (const auto problem = CheckCallerTeam(team, route, teams_)) {
    request.history = " key=" + std::string(ToName(*problem));
    Reject(request, route, ErrorKind::kUnauthorized, Duration::zero());
    return;
  }
  if (!stop_->Admits(request.deadline)) {
    Reject(request, route, ErrorKind::kLeaving, Duration::zero());
    return;
  }
  if (IsOverloaded(waited, request.deadline - now)) {
    RejectOverloaded(request, route, waited);
    return;
  }
  if (answer_memory_.is_exhausted()) {
    request.history =
        " answers hold " + std::to_string(answer_memory_.used()) + " bytes";
    Reject(request, route, ErrorKind::kOverloaded, Duration::zero());
    return;
  }
  const auto& service = splitter_.Choose(route);
  if (!route.is_public && quotas_->IsLimited(request.team)) {
    // Before it may wait for a target, so that requests over a quota never run
    // before those inside theirs.
    quotas_->Submit({std::move(request), service});
    return;
  }
  Run(std::move(request), service);
}

auto GatewayTask::Run(GatewayRequest request, const ServiceId& service)
    -> void {
  const bool was_idle = active() == 0;
  RunnerOf(service).Submit(std::move(request));
  if (was_idle) {
    ScheduleTick();
  }
}

auto GatewayTask::MakeQuotaRunner() -> std::unique_ptr<QuotaRunner> {
  QuotaRunner::Hooks hooks;
  hooks.send = [this](PeerMessageToSend message) {
    outbox_.mesh.Post(std::move(message));
  };
  hooks.admit = [this](QuotaRunner::Held held) {
    Run(std::move(held.request), held.service);
  };
  hooks.refuse = [this](QuotaRunner::Held held, ErrorKind kind,
                        Duration retry_after) {
    held.request.history += " team=" + held.request.team.value();
    Reject(held.request, held.service, kind, retry_after);
    stop_->ExitIfDone();
  };
  hooks.drop = [this](QuotaRunner::Held held) {
    held.request.history += " caller-gone";
    OnRequestEnded(held.service, {held.request, 0, std::nullopt, Now()});
    stop_->ExitIfDone();
  };
  return std::make_unique<QuotaRunner>(context_->loop(), Random(random_.Next()),
                                       std::move(hooks));
}

auto GatewayTask::RejectOverloaded(GatewayRequest& request,
                                   const Route& route,
                                   Duration waited) -> void {
  ++overloaded_;
  request.history = " waited " + std::to_string(ToMilliseconds(waited)) + " ms";
  Reject(request, route, ErrorKind::kOverloaded, OverloadRetryAfter(waited));
}

auto GatewayTask::Reject(GatewayRequest& request,
                         const Route& route,
                         ErrorKind kind,
                         Duration retry_after) -> void {
  Reject(request, route.shares.front().service, kind, retry_after);
}

auto GatewayTask::Reject(GatewayRequest& request,
                         const ServiceId& service,
                         ErrorKind kind,
                         Duration retry_after) -> void {
  request.exchange->Reply(
      MakeErrorHead(kind,
                    {.delay = retry_after,
                     .fractional = config_.dialect.fractional_retry_after}),
      MakeErrorBody(kind));
  OnRequestEnded(service, {request, AnswerFor(kind).http_status, kind, Now()});
}

auto GatewayTask::OnRequestEnded(const ServiceId& service,
                                 const PoolRunner::Record& record) -> void {
  unauthorized_ += record.error == ErrorKind::kUnauthorized ? 1 : 0;
  request_log_.OnRequest(
      service, record, view_->routing ? view_->routing->revision : Revision(),
      view_->registry ? view_->registry->revision : Revision());
}

auto GatewayTask::IsReady() const -> bool {
  return stop_->mode() == StopMode::kNone && view_ && view_->ready &&
         !view_->leaving;
}

auto GatewayTask::CheckPause() -> void {
  const auto now = Now();
  if (!pause_watch_.DetectPause(now)) {
    return;
  }
  Log(Part::kGateway, LogLevel::kWarning, "the process was paused");
  for (auto& [id, runner] : services_) {
    runner->OnResumed();
  }
}

auto GatewayTask::OnTick() -> void {
  CheckPause();
  MeasureLoad();
  descriptor_watch_.Update(server_->part(), target_connections_);
  if (Now() - last_report_ >= kReportPeriod) {
    SendReports();
  }
  // A non-repeatable request may end without an answer after its caller
  // disconnected.
  stop_->ExitIfDone();
  ScheduleTick();
}

auto GatewayTask::ScheduleTick() -> void {
  const auto delay = active() > 0 ? kBusyTick : kIdleTick;
  const auto due = Now() + delay;
  if (tick_.IsPending() && tick_due_ <= due) {
    return;
  }
  tick_due_ = due;
  pause_watch_.ExpectTick(due);
  tick_.Schedule(delay);
}

auto GatewayTask::MeasureLoad() -> void {
  const auto now = Now();
  // The tick goes before sockets, so its own delay says little about theirs.
  const auto delay = std::max(now - tick_due_, context_->loop().QueueDelay());
  UpdateLoopDelay(delay);
  if (load_.Add({received_bytes_, last_request_, delay}, now)) {
    outbox_.fleet.Post(LoadMeasured{load_.capacity(), load_.load()});
  }
}

auto GatewayTask::UpdateLoopDelay(Duration delay) -> void {
  // A single late event is followed by others soon, so the delay falls slowly.
  const auto lasting = std::max(delay, loop_delay_ / 2);
  const auto known = lasting < kMinLoopDelay ? Duration::zero() : lasting;
  if (known == std::exchange(loop_delay_, known)) {
    return;
  }
  for (auto& [id, runner] : services_) {
    runner->OnLoopDelay(known);
  }
}

auto GatewayTask::SendReports() -> void {
  last_report_ = Now();
  MetricsReported metrics{.task = "gateway", .samples = {}};
  metrics.samples.push_back(
      {.name = "flamingoyoke_gateway_processor_cores",
       .help = "Processor time that callers' requests take, reckoned.",
       .is_counter = false,
       .value = load_.last().processor_millicores / kMillicoresPerCore});
  metrics.samples.push_back(
      {.name = "flamingoyoke_gateway_overloaded_total",
       .help = "Requests refused since this vm was short of processor.",
       .value = static_cast<double>(overloaded_)});
  metrics.samples.push_back(
      {.name = "flamingoyoke_gateway_unauthorized_total",
       .help = "Requests refused since they need the key of a team.",
       .value = static_cast<double>(unauthorized_)});
  metrics.samples.push_back(
      {.name = "flamingoyoke_gateway_teams",
       .help = "Teams of the configuration in force.",
       .is_counter = false,
       .value = static_cast<double>(teams_.team_count())});
  metrics.samples.push_back(
      {.name = "flamingoyoke_gateway_link_kbps",
       .help = "Kilobits per second received from callers and upstreams.",
       .is_counter = false,
       .value = static_cast<double>(load_.last().link_kbps)});
  metrics.samples.push_back(
      {.name = "flamingoyoke_gateway_answer_bytes",
       .help = "Bytes of answers that this vm holds.",
       .is_counter = false,
       .value = static_cast<double>(answer_memory_.used())});
  metrics.samples.push_back(
      {.name = "flamingoyoke_gateway_evicted_answers_total",
       .help = "Connections to targets closed as answers held too much memory.",
       .value = static_cast<double>(answer_memory_.evictions())});
  if (view_) {
    metrics.samples.push_back(
        {.name = "flamingoyoke_gateway_linked_entries",
         .help = "Other entry vms that outcomes are exchanged with.",
         .is_counter = false,
         .value = static_cast<double>(view_->linked_entries.size())});
    metrics.samples.push_back(
        {.name = "flamingoyoke_gateway_entries",
         .help = "Vms that callers are directed to, as this vm sees them.",
         .is_counter = false,
         .value = static_cast<double>(view_->entries.size())});
  }
  server_->memory().AppendTo(metrics.samples);
  descriptor_watch_.AppendTo(server_->part(), target_connections_,
                             metrics.samples);
  quotas_->AppendTo(metrics.samples);
  QueueMetrics queues;
  for (const auto& [id, runner] : services_) {
    AddServiceSamples(id, runner->dispatcher(), last_report_, metrics.samples);
    queues.Add(runner->dispatcher());
  }
  queues.AppendTo(metrics.samples);
  metrics.samples.push_back(
      {.name = "flamingoyoke_thread_processor_seconds_total",
       .help = "Processor time of the thread that runs the task.",
       .label_name = "task",
       .label_value = std::string(ToName(Part::kGateway)),
       .value = ToSeconds(ThreadProcessorTime())});
  work_times_.AppendTo(metrics.samples);
  if (last_report_ - last_summary_ >= kSummaryPeriod) {
    last_summary_ = last_report_;
    work_times_.LogSummary();
  }
  outbox_.telemetry.Post(std::move(metrics));
}

auto GatewayTask::active() const -> std::size_t {
  std::size_t count = quotas_->active();
  for (const auto& [id, runner] : services_) {
    count += runner->active();
  }
  return count;
}

auto GatewayTask::Stop(StopMode mode) -> void {
  stop_->Start(mode);
}

auto GatewayTask::FailAll() -> void {
  quotas_->FailAll();
  for (auto& [id, runner] : services_) {
    runner->FailAll();
  }
}

}  // namespace flamingoyoke
