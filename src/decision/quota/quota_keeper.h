#ifndef FLAMINGOYOKE_DECISION_QUOTA_QUOTA_KEEPER_H_
#define FLAMINGOYOKE_DECISION_QUOTA_QUOTA_KEEPER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/quota/quota_event.h"
#include "decision/quota/quota_limits.h"
#include "decision/quota/quota_scope.h"

namespace flamingoyoke {

// Divides the limits of teams among gateways. A gateway leases a rate and a
// number of requests that it may save up; the leases of a team never add up to
// more than its limit, and what is not leased collects in a bucket that grants
// single requests. While gateways ask for more than the limit, each gets its
// share by demand, and leases whose demand may have changed are recalled.
//
// A new keeper has an empty bucket and leases little until it has learned the
// leases of the previous one. Not thread-safe. Deterministic.
class QuotaKeeper {
 public:
  // Handles one event and returns the messages to gateways, of which one may be
  // this VM. `now` must not decrease.
  auto OnEvent(const QuotaKeeperEvent& event, TimePoint now)
      -> std::vector<SendToPeer>;

  // Number of teams with a lease or a bucket that is not full.
  [[nodiscard]] auto teams() const -> std::size_t { return teams_.size(); }
  // Number of leases granted, and of requests that came up short.
  [[nodiscard]] auto granted() const -> std::uint64_t { return granted_; }
  [[nodiscard]] auto short_grants() const -> std::uint64_t { return short_; }
  // Sum of the live leases of `team`, in requests per second.
  [[nodiscard]] auto LeasedRate(const TeamId& team, TimePoint now) const
      -> double;

 private:
  struct Lease {
    double rate = 0;
    // Part of the rate that was leased by the previous keeper.
    double adopted = 0;
    double capacity = 0;
    double demand = 0;
    TimePoint asked;
    TimePoint until;
  };
  struct TeamState {
    // Requests that may be granted in addition to leases.
    double bucket = 0;
    TimePoint refilled;
    std::map<VmId, Lease> leases;
    // The limit that the leases were cut to.
    double rate = 0;
    TimePoint last_recall;
    TimePoint last_used;
  };
  struct GatewayOrder {
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    // The last keepers for which the gateway has told all its leases.
    std::uint64_t told_keepers = 0;
  };
  // Sums over the leases of other gateways.
  struct Others {
    double rate = 0;
    double fresh = 0;
    double capacity = 0;
    double demand = 0;
  };
  // Teams to recall from each gateway.
  using Recalls = std::map<VmId, std::vector<TeamId>>;

  auto On(const QuotaScopeChanged& event) -> void;
  auto On(const QuotaLimitsChanged& event) -> void;
  auto On(const QuotaRequestReceived& event) -> void;

  // Returns whether the request is newer than those before from its gateway.
  auto IsNewer(const QuotaRequestReceived& event) -> bool;
  auto Grant(const VmId& gateway, const QuotaDemand& demand, Recalls& recalls)
      -> QuotaLease;
  auto FindOrAdd(const TeamId& team, const QuotaLimit& limit) -> TeamState*;
  auto Refill(const TeamId& team, TeamState& state, const QuotaLimit& limit)
      -> void;
  // Reduces all leases after the limit or this side's share of it fell. The
  // gateways do the same.
  auto CutLeases() -> void;
  auto Recall(TeamState& state,
              const TeamId& team,
              const VmId& gateway,
              Recalls& recalls) -> void;
  auto DropIdle() -> void;
  // Returns the part of the team's limit that this VM may lease.
  [[nodiscard]] auto LimitOf(const TeamId& team) const -> QuotaLimit;
  [[nodiscard]] auto IsKeeperOf(const TeamId& team,
                                const std::vector<VmId>& keepers) const -> bool;
  [[nodiscard]] auto IsSettled(const TeamId& team) const -> bool;
  // Whether this VM knows the leases of all teams that it keeps.
  [[nodiscard]] auto KnowsLeases() const -> bool;
  // Updates whether all known gateways have told their leases.
  auto CheckTold() -> void;
  [[nodiscard]] static auto SumOthers(const TeamState& state,
                                      const VmId& gateway) -> Others;
  // Returns the number of requests that may be saved in the bucket.
  [[nodiscard]] static auto BucketSize(const TeamState& state,
                                       const QuotaLimit& limit) -> double;

  TimePoint now_;
  QuotaScope scope_;
  QuotaLimits limits_;
  // The keepers before the last change, and whether they had settled.
  std::vector<VmId> previous_keepers_;
  bool previous_settled_ = false;
  TimePoint keepers_since_;
  std::uint64_t keepers_hash_ = 0;
  // Whether the processes had just started together at keepers_since_.
  bool has_started_together_ = false;
  // Whether all known gateways have told their leases to these keepers.
  bool are_all_told_ = false;
  std::unordered_map<TeamId, TeamState> teams_;
  std::unordered_map<VmId, GatewayOrder> gateways_;
  TimePoint last_drop_;
  std::uint64_t granted_ = 0;
  std::uint64_t short_ = 0;
  std::vector<SendToPeer> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_QUOTA_QUOTA_KEEPER_H_
