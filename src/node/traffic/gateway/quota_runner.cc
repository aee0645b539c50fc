#include "node/traffic/gateway/quota_runner.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "core/name_table.h"
#include "node/log.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

auto Describe(const TeamLimited& limited) -> std::string {
  const auto number = [](double value) {
    return std::to_string(std::llround(value));
  };
  return "team " + limited.team.value() + " is limited to " +
         number(limited.limit.rate) + " requests/s and a burst of " +
         number(limited.limit.burst) + ": " +
         std::string(ToName(limited.reason)) + ", refused " +
         std::to_string(limited.refused) + ", leased " +
         number(limited.leased) + "/s here, all gateways want " +
         number(limited.load * 100) + "% of the limit";
}

}  // namespace

QuotaRunner::QuotaRunner(EventLoop& loop, Random random, Hooks hooks)
    : hooks_(std::move(hooks)),
      quotas_(random),
      timer_(loop.MakePromptTimer(
          [this] { Post(GatewayQuotaEvent(QuotaTimer{})); })) {}

auto QuotaRunner::OnView(const FleetView& view) -> void {
  self_ = view.self;
  incarnation_ = view.incarnation;
  const bool has_teams = view.routing && view.routing->teams;
  if (!has_teams && !routing_) {
    return;
  }
  auto scope = tracker_.Update(view, Now());
  if (scope_ != scope) {
    scope_ = scope;
    Post(GatewayQuotaEvent(QuotaScopeChanged{scope}));
    Post(QuotaKeeperEvent(QuotaScopeChanged{std::move(scope)}));
  }
  if (routing_ != view.routing) {
    routing_ = view.routing;
    Post(GatewayQuotaEvent(QuotaLimitsChanged{QuotaLimits(routing_)}));
    Post(QuotaKeeperEvent(QuotaLimitsChanged{QuotaLimits(routing_)}));
  }
}

auto QuotaRunner::Submit(Held held) -> void {
  const auto id = held.request.id;
  const QuotaRequestArrived arrived{id, held.request.team,
                                    held.request.deadline};
  held.request.exchange->set_on_disconnect([this, id] { OnCallerGone(id); });
  held_.emplace(id, std::move(held));
  Post(GatewayQuotaEvent(arrived));
}

auto QuotaRunner::OnPeerMessage(const PeerEnvelope& envelope) -> void {
  Deliver(envelope.sender, envelope.incarnation, envelope.message);
}

auto QuotaRunner::Deliver(const VmId& sender,
                          Incarnation incarnation,
                          const PeerMessage& message) -> void {
  if (const auto* request = std::get_if<QuotaRequest>(&message)) {
    Post(QuotaKeeperEvent(QuotaRequestReceived{sender, incarnation, *request}));
  } else if (const auto* grant = std::get_if<QuotaGrant>(&message)) {
    Post(GatewayQuotaEvent(QuotaGrantReceived{sender, *grant}));
  } else if (const auto* recall = std::get_if<QuotaRecall>(&message)) {
    Post(GatewayQuotaEvent(QuotaRecallReceived{sender, *recall}));
  }
}

auto QuotaRunner::Recheck(
    const std::function<bool(GatewayRequest&)>& is_allowed) -> void {
  std::vector<RequestId> revoked;
  for (auto& [id, held] : held_) {
    if (!is_allowed(held.request)) {
      revoked.push_back(id);
    }
  }
  for (const auto id : revoked) {
    if (auto held = Take(id)) {
      Post(GatewayQuotaEvent(QuotaRequestCancelled{id, held->request.team}));
      hooks_.refuse(std::move(*held), ErrorKind::kUnauthorized,
                    Duration::zero());
    }
  }
}

auto QuotaRunner::FailAll() -> void {
  while (!held_.empty()) {
    const auto id = held_.begin()->first;
    auto held = Take(id);
    Post(GatewayQuotaEvent(QuotaRequestCancelled{id, held->request.team}));
    hooks_.refuse(std::move(*held), ErrorKind::kHardStopQueued,
                  Duration::zero());
  }
}

auto QuotaRunner::OnCallerGone(RequestId id) -> void {
  if (auto held = Take(id)) {
    Post(GatewayQuotaEvent(QuotaRequestCancelled{id, held->request.team}));
    hooks_.drop(std::move(*held));
  }
}

auto QuotaRunner::Take(RequestId id) -> std::optional<Held> {
  auto node = held_.extract(id);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

auto QuotaRunner::Post(Event event) -> void {
  events_.push_back(std::move(event));
  if (is_handling_) {
    return;
  }
  is_handling_ = true;
  while (!events_.empty()) {
    const auto next = std::move(events_.front());
    events_.pop_front();
    std::visit([this](const auto& typed) { HandleEvent(typed); }, next);
  }
  is_handling_ = false;
}

auto QuotaRunner::HandleEvent(const GatewayQuotaEvent& event) -> void {
  for (const auto& action : quotas_.OnEvent(event, Now())) {
    std::visit([this](const auto& typed) { Execute(typed); }, action);
  }
}

auto QuotaRunner::HandleEvent(const QuotaKeeperEvent& event) -> void {
  for (const auto& order : keeper_.OnEvent(event, Now())) {
    Execute(order);
  }
}

auto QuotaRunner::Execute(const AdmitRequest& action) -> void {
  if (auto held = Take(action.request)) {
    hooks_.admit(std::move(*held));
  }
}

auto QuotaRunner::Execute(const RefuseOverQuota& action) -> void {
  if (auto held = Take(action.request)) {
    hooks_.refuse(std::move(*held), ErrorKind::kTeamLimit, action.retry_after);
  }
}

auto QuotaRunner::Execute(const SendToPeer& action) -> void {
  if (action.peer == self_) {
    Deliver(self_, incarnation_, action.message);
    return;
  }
  hooks_.send(PeerMessageToSend{action});
}

auto QuotaRunner::Execute(const TeamLimited& action) -> void {
  Log(Part::kGateway, LogLevel::kWarning, Describe(action));
}

auto QuotaRunner::Execute(const WakeQuotaAt& action) -> void {
  timer_.Schedule(std::max(action.at - Now(), Duration::zero()));
}

auto QuotaRunner::AppendTo(std::vector<MetricSample>& samples) const -> void {
  const auto add = [&](const char* name, const char* help, bool is_counter,
                       std::uint64_t value) {
    samples.push_back({.name = name,
                       .help = help,
                       .is_counter = is_counter,
                       .value = static_cast<double>(value)});
  };
  const auto& counters = quotas_.counters();
  add("flamingoyoke_gateway_team_limited_total",
      "Requests refused since their team was at its quota.", true,
      counters.refused);
  add("flamingoyoke_gateway_team_waited_total",
      "Requests that waited for a lease of their team.", true, counters.waited);
  add("flamingoyoke_gateway_quota_asked_total",
      "Leases of teams that keepers were asked for.", true, counters.asked);
  add("flamingoyoke_gateway_quota_granted_total",
      "Leases of teams that keepers answered.", true, counters.granted);
  add("flamingoyoke_gateway_quota_unanswered_total",
      "Leases of teams that no keeper answered in time.", true,
      counters.unanswered);
  add("flamingoyoke_gateway_quota_waiting",
      "Requests that wait for a lease of their team.", false,
      quotas_.waiting());
  add("flamingoyoke_gateway_quota_teams",
      "Teams with a quota that used this vm lately.", false, quotas_.teams());
  add("flamingoyoke_gateway_quota_kept_teams",
      "Teams whose quotas this vm divides among gateways.", false,
      keeper_.teams());
}

}  // namespace flamingoyoke
