#ifndef FLAMINGOYOKE_DECISION_QUOTA_GATEWAY_QUOTAS_H_
#define FLAMINGOYOKE_DECISION_QUOTA_GATEWAY_QUOTAS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/quota/demand_estimate.h"
#include "decision/quota/quota_event.h"
#include "decision/quota/quota_limits.h"
#include "decision/quota/quota_scope.h"

namespace flamingoyoke {

// Counters since construction.
struct GatewayQuotaCounters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  // Teams asked for in messages to keepers, and leases received.
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
  // Requests that waited for a lease.
  std::uint64_t waited = 0;
  std::uint64_t unanswered = 0;
};

// Decides on one gateway which requests are inside the quotas of their teams.
// A small part of each limit needs no message. For more, the gateway leases a
// rate from the team's keeper; see QuotaKeeper. A request that finds no room
// waits a short time for an answer of the keeper and is refused then.
//
// Each QuotaRequestArrived is followed by one AdmitRequest or RefuseOverQuota
// unless it is cancelled. Not thread-safe. Deterministic for a seed.
class GatewayQuotas {
 public:
  explicit GatewayQuotas(Random random) : random_(random) {}

  // Handles one event and returns the resulting actions. `now` must not
  // decrease.
  auto OnEvent(const GatewayQuotaEvent& event, TimePoint now)
      -> std::vector<GatewayQuotaAction>;

  // Returns whether requests of `team` are limited.
  [[nodiscard]] auto IsLimited(const TeamId& team) const -> bool {
    return limits_.Find(team).rate > 0;
  }
  [[nodiscard]] auto counters() const -> const GatewayQuotaCounters& {
    return counters_;
  }
  [[nodiscard]] auto waiting() const -> std::size_t { return waiting_; }
  [[nodiscard]] auto teams() const -> std::size_t { return teams_.size(); }

 private:
  struct Waiting {
    RequestId request;
    TimePoint until;
  };
  struct Pending {
    VmId keeper;
    std::uint64_t sequence = 0;
    TimePoint sent;
  };
  struct TeamState {
    explicit TeamState(TimePoint now) : demand(now), refilled(now) {}

    QuotaLimit limit;
    // Keepers in the order of the team.
    std::vector<VmId> keepers;
    DemandEstimate demand;
    TimePoint refilled;
    // The unasked part that is left.
    double unasked = 0;
    // The lease and the requests saved up by it.
    VmId lessor;
    double rate = 0;
    double capacity = 0;
    double tokens = 0;
    TimePoint lease_since;
    TimePoint lease_until;
    double load = 0;
    std::deque<Waiting> waiting;
    std::optional<Pending> pending;
    // Whether another gateway needs a part of the lease.
    bool is_recalled = false;
    TimePoint next_ask;
    // Consecutive answers with less than this gateway needs.
    std::uint32_t short_answers = 0;
    QuotaRefusal last_refusal = QuotaRefusal::kKeeperSilent;
    std::uint64_t refused = 0;
    std::optional<TimePoint> last_logged;
  };
  struct KeeperState {
    // When the first message without an answer was sent.
    std::optional<TimePoint> unanswered_since;
    TimePoint silent_until;
  };

  auto On(const QuotaScopeChanged& event) -> void;
  auto On(const QuotaLimitsChanged& event) -> void;
  auto On(const QuotaRequestArrived& event) -> void;
  auto On(const QuotaRequestCancelled& event) -> void;
  auto On(const QuotaGrantReceived& event) -> void;
  auto On(const QuotaRecallReceived& event) -> void;
  auto On(const QuotaTimer& event) -> void;

  auto FindOrAdd(const TeamId& team) -> TeamState*;
  auto Refill(TeamState& state) -> void;
  // Scales the leases of all teams after their limits or this side's share of
  // them fell.
  auto CutLeases(double factor) -> void;
  // Uses up one request of the unasked part or the lease. Returns false if
  // nothing is left.
  auto TakeToken(TeamState& state) -> bool;
  // Admits the requests that wait as far as there is room, and refuses those
  // whose time is over.
  auto ServeWaiting(const TeamId& team, TeamState& state) -> void;
  // Refuses the requests that wait for more than the lease will allow.
  auto RefuseExcess(const TeamId& team, TeamState& state) -> void;
  auto Apply(TeamState& state, const QuotaLease& lease, Duration duration)
      -> void;
  auto Refuse(const TeamId& team, TeamState& state, RequestId request) -> void;
  auto RefusalReason(const TeamState& state) const -> QuotaRefusal;
  // Returns whether all gateways want more than the limit, so that requests
  // without room are refused at once.
  [[nodiscard]] static auto IsLimited(const TeamState& state) -> bool;
  [[nodiscard]] auto RetryAfter(const TeamState& state) -> Duration;

  // Asks the keeper in the next message.
  auto AskSoon(const TeamId& team) -> void;
  auto SendRequests() -> void;
  // Sends all leases of previous keepers to the new ones that have not answered
  // yet, and that these are all.
  auto TellKeepers() -> void;
  auto AddStatements(std::map<VmId, std::vector<QuotaRequest>>& messages)
      -> void;
  // Returns what to ask `keeper` for, and reduces the lease to it.
  auto MakeDemand(const TeamId& team, TeamState& state, const VmId& keeper)
      -> QuotaDemand;
  // Returns the rate that the team could use on this gateway.
  [[nodiscard]] auto WantedRate(const TeamState& state) const -> double;
  // Returns the keeper to ask, or null if none answers.
  [[nodiscard]] auto KeeperOf(const TeamState& state) const -> const VmId*;
  auto CheckPending(const TeamId& team, TeamState& state) -> void;
  // Renews and returns leases and forgets idle teams.
  auto CheckTeams() -> void;
  [[nodiscard]] auto CheckLease(const TeamState& state) const -> bool;
  auto ScheduleTimer() -> void;

  // This gateway's unasked part.
  [[nodiscard]] auto UnaskedRate(const TeamState& state) const -> double;
  [[nodiscard]] auto UnaskedSize(const TeamState& state) const -> double;

  Random random_;
  TimePoint now_;
  QuotaScope scope_;
  QuotaLimits limits_;
  std::unordered_map<TeamId, TeamState> teams_;
  std::unordered_map<VmId, KeeperState> keepers_;
  // Teams with requests that wait or messages without an answer.
  std::set<TeamId> busy_;
  // Teams to ask for.
  std::set<TeamId> due_;
  std::optional<TimePoint> send_at_;
  // Keepers that have to be told the leases, with the last message that did,
  // and when to tell them again and to stop doing so.
  std::map<VmId, std::uint64_t> untold_;
  TimePoint tell_at_;
  TimePoint tell_until_;
  bool is_telling_ = false;
  TimePoint next_check_;
  std::optional<TimePoint> scheduled_wake_;
  std::uint64_t last_sequence_ = 0;
  std::size_t waiting_ = 0;
  GatewayQuotaCounters counters_;
  std::vector<GatewayQuotaAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_QUOTA_GATEWAY_QUOTAS_H_
