// Random event sequences for the dispatchers of a home set and of one VM
// outside of it, with lost, duplicated and reordered messages, pauses, lost
// peers and faulty targets. Every failure prints its seed.

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/answer_table.h"
#include "decision/dispatch/loan_timing.h"
#include "decision/dispatch/service_dispatcher.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr int kMembers = 3;
// The home set and one VM that callers still reach by an outdated address.
constexpr int kNodes = 4;
constexpr int kTargetsPerMember = 2;
constexpr int kTargets = kMembers * kTargetsPerMember;
constexpr std::uint32_t kSlots = 2;
constexpr int kSteps = 2500;
constexpr int kSeeds = 40;

auto NodeId(int node) -> VmId {
  return VmId("vm-" + std::to_string(node));
}

auto Target(int index) -> TargetId {
  return TargetId("10.0.0." + std::to_string(index) + ":80");
}

auto MayHaveRun(AttemptResult result) -> bool {
  return result != AttemptResult::kShed &&
         result != AttemptResult::kConnectFailed;
}

struct RequestModel {
  bool repeatable = false;
  bool ended = false;
  bool may_have_run = false;
  std::set<AttemptId> in_flight;
};

struct AttemptModel {
  RequestId request;
  TargetId target;
  bool cancelled = false;
};

struct LoanModel {
  VmId borrower;
  TargetId target;
  TimePoint expires;
};

struct NodeModel {
  ServiceDispatcher dispatcher;
  bool paused = false;
  std::deque<DispatchEvent> held_events;
  std::map<RequestId, RequestModel> requests;
  std::map<AttemptId, AttemptModel> attempts;
  // Loans that this node granted and that were not returned.
  std::map<LoanId, LoanModel> granted;
  // When this node first handled each slot request of a borrower.
  std::map<std::pair<VmId, std::uint64_t>, TimePoint> handled;
  TimePoint wake = TimePoint::max();
};

struct ScheduledEvent {
  TimePoint at;
  int node;
  DispatchEvent event;
};

class FaultSimulation {
 public:
  explicit FaultSimulation(std::uint64_t seed) : seed_(seed), random_(seed) {
    for (int i = 0; i < kNodes; ++i) {
      nodes_.push_back({ServiceDispatcher(Random(seed * 10 + i))});
    }
    for (int i = 0; i < kNodes; ++i) {
      Handle(i, Configuration(i));
    }
  }

  auto Run() -> void {
    for (int step = 0; step < kSteps; ++step) {
      now_ += Duration(random_.Below(4000));
      DeliverDue();
      InjectRandomEvent();
    }
    for (int i = 0; i < kNodes; ++i) {
      Resume(i);
    }
    faults_ = false;
    // 4 s, longer than any deadline, loan and attempt.
    for (int step = 0; step < 4000; ++step) {
      now_ += milliseconds(1);
      DeliverDue();
    }
    CheckAllReleased();
  }

 private:
  auto Configuration(int node) const -> DispatchConfigured {
    DispatchConfigured configured;
    configured.row.service = ServiceId("stock");
    configured.row.slots = kSlots;
    configured.row.queue_limit = 20;
    configured.row.retry_share = 0.5;
    configured.row.hedge_delay = milliseconds(40);
    configured.self = NodeId(node);
    for (int i = 0; i < kMembers; ++i) {
      configured.home.push_back(NodeId(i));
    }
    for (int i = 0; i < kTargets; ++i) {
      TargetSpec spec;
      spec.id = Target(i);
      configured.row.targets.push_back(spec);
      if (i % kMembers == node) {
        configured.owned.push_back(spec.id);
      }
    }
    return configured;
  }

  static auto OwnerOf(const TargetId& target) -> int {
    const auto digits = target.value().substr(7);
    return std::stoi(digits) % kMembers;
  }

  auto Schedule(Duration delay, int node, const DispatchEvent& event) -> void {
    scheduled_.push_back({now_ + delay, node, event});
  }

  auto DeliverDue() -> void {
    for (bool found = true; found;) {
      found = false;
      for (std::size_t i = 0; i < scheduled_.size(); ++i) {
        if (scheduled_[i].at <= now_) {
          const auto due = scheduled_[i];
          scheduled_.erase(scheduled_.begin() + static_cast<std::ptrdiff_t>(i));
          Handle(due.node, due.event);
          found = true;
          break;
        }
      }
    }
    for (int i = 0; i < kNodes; ++i) {
      if (nodes_[i].wake <= now_) {
        nodes_[i].wake = TimePoint::max();
        Handle(i, DispatchTimer{});
      }
    }
  }

  // Injects one random event: mostly a request, sometimes a fault.
  auto InjectRandomEvent() -> void {
    const auto node = static_cast<int>(random_.Below(kNodes));
    const auto kind = random_.Below(100);
    if (kind < 60) {
      Arrive(node);
    } else if (kind < 64) {
      CancelOneRequest(node);
    } else if (kind < 66) {
      nodes_[node].paused = true;
    } else if (kind < 76) {
      Resume(node);
    } else if (kind < 78) {
      Handle(node, DispatchPeerLost{
                       NodeId(static_cast<int>(random_.Below(kMembers)))});
    } else if (kind < 80) {
      Handle(node, TargetShareChanged{
                       Target(static_cast<int>(random_.Below(kTargets))),
                       0.25 * static_cast<double>(random_.Below(5))});
    }
  }

  auto Arrive(int node) -> void {
    RequestArrived arrived;
    arrived.request = RequestId(++last_request_);
    arrived.work_class =
        random_.Below(6) == 0 ? WorkClass::kLong : WorkClass::kShort;
    arrived.repeatable = random_.Below(2) == 0;
    arrived.deadline = now_ + milliseconds(20 + random_.Below(900));
    nodes_[node].requests[arrived.request].repeatable = arrived.repeatable;
    Handle(node, arrived);
  }

  auto CancelOneRequest(int node) -> void {
    for (auto& [id, request] : nodes_[node].requests) {
      if (!request.ended && !nodes_[node].paused) {
        request.ended = true;
        Handle(node, RequestCancelled{id});
        return;
      }
    }
  }

  auto Resume(int node) -> void {
    auto& model = nodes_[node];
    if (!model.paused) {
      return;
    }
    model.paused = false;
    Handle(node, DispatchResumed{});
    auto held_events = std::exchange(model.held_events, {});
    for (const auto& event : held_events) {
      Handle(node, event);
    }
  }

  auto Handle(int node, const DispatchEvent& event) -> void {
    auto& model = nodes_[node];
    if (model.paused) {
      model.held_events.push_back(event);
      return;
    }
    std::visit([&](const auto& typed) { BeforeEvent(node, typed); }, event);
    for (const auto& action : model.dispatcher.OnEvent(event, now_)) {
      std::visit([&](const auto& typed) { AfterAction(node, typed); }, action);
    }
  }

  template <typename Event>
  auto BeforeEvent(int /*node*/, const Event& /*event*/) -> void {}

  auto BeforeEvent(int node, const AttemptFinished& event) -> void {
    auto& model = nodes_[node];
    const auto attempt = model.attempts.at(event.attempt);
    model.attempts.erase(event.attempt);
    auto& request = model.requests.at(attempt.request);
    request.in_flight.erase(event.attempt);
    request.may_have_run |= MayHaveRun(event.result);
    const bool answered = event.result == AttemptResult::kAnswered ||
                          event.result == AttemptResult::kServerError;
    if (answered && !attempt.cancelled && !request.ended) {
      request.ended = true;
    }
  }

  auto BeforeEvent(int node, const DispatchPeerMessage& event) -> void {
    auto& model = nodes_[node];
    if (const auto* request = std::get_if<SlotRequest>(&event.message)) {
      // Duplicates are ignored by the lender, so the first copy counts.
      model.handled.emplace(std::pair(event.sender, request->sequence), now_);
    } else if (const auto* returned = std::get_if<SlotReturn>(&event.message)) {
      model.granted.erase(returned->loan);
    }
  }

  auto AfterAction(int node, const StartAttempt& action) -> void {
    auto& model = nodes_[node];
    auto& request = model.requests.at(action.request);
    cr_assert(!request.ended, "seed %lu: attempt of an ended request", seed_);
    if (!request.repeatable) {
      cr_assert(!request.may_have_run,
                "seed %lu: non-repeatable request sent twice", seed_);
      cr_assert(request.in_flight.empty(),
                "seed %lu: non-repeatable request has two attempts in flight",
                seed_);
    }
    request.in_flight.insert(action.attempt);
    model.attempts[action.attempt] = {action.request, action.target};
    if (OwnerOf(action.target) == node) {
      CheckSlots(node, action.target);
    } else {
      CheckLoan(node, action.target);
    }
    ScheduleFinish(node, action.attempt);
  }

  auto ScheduleFinish(int node, AttemptId attempt) -> void {
    constexpr AttemptResult kResults[] = {
        AttemptResult::kShed,          AttemptResult::kConnectFailed,
        AttemptResult::kTimeout,       AttemptResult::kReset,
        AttemptResult::kPartialAnswer, AttemptResult::kServerError};
    const auto result = random_.Below(3) == 0 ? kResults[random_.Below(6)]
                                              : AttemptResult::kAnswered;
    const auto length =
        random_.Below(10) == 0 ? random_.Below(1500) : random_.Below(80);
    Schedule(milliseconds(length), node, AttemptFinished{attempt, result});
  }

  auto AfterAction(int node, const CancelAttempt& action) -> void {
    auto& attempt = nodes_[node].attempts.at(action.attempt);
    cr_assert(!attempt.cancelled, "seed %lu: attempt cancelled twice", seed_);
    attempt.cancelled = true;
  }

  auto AfterAction(int node, const FailRequest& action) -> void {
    auto& request = nodes_[node].requests.at(action.request);
    cr_assert(!request.ended, "seed %lu: request ended twice", seed_);
    request.ended = true;
    if (AnswerFor(action.error).outcome == Outcome::kNotRun) {
      cr_assert(!request.may_have_run && request.in_flight.empty(),
                "seed %lu: %s reported for a request that may have run", seed_,
                std::string(ToName(action.error)).c_str());
    }
  }

  auto AfterAction(int node, const SendToPeer& action) -> void {
    if (const auto* loan = std::get_if<SlotLoan>(&action.message)) {
      const auto handled =
          nodes_[node].handled.at({action.peer, loan->sequence});
      nodes_[node].granted[loan->loan] = {action.peer, loan->targets.at(0),
                                          handled + kLoanDuration};
      CheckSlots(node, loan->targets.at(0));
    }
    const DispatchPeerMessage message{NodeId(node), action.message};
    const int peer = std::stoi(action.peer.value().substr(3));
    const auto copies = !faults_                 ? 1
                        : random_.Below(10) == 0 ? 0
                        : random_.Below(8) == 0  ? 2
                                                 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto delay =
          random_.Below(12) == 0 ? random_.Below(700) : random_.Below(5);
      Schedule(milliseconds(delay), peer, message);
    }
  }

  auto AfterAction(int node, const WakeDispatcherAt& action) -> void {
    cr_assert(action.at > now_, "seed %lu: timer set in the past", seed_);
    nodes_[node].wake = action.at;
  }

  // Checks that an owner's attempts and active loans don't exceed the slots.
  auto CheckSlots(int node, const TargetId& target) -> void {
    const auto& model = nodes_[node];
    std::size_t used = 0;
    for (const auto& [id, attempt] : model.attempts) {
      used += attempt.target == target ? 1 : 0;
    }
    for (const auto& [id, loan] : model.granted) {
      used += loan.target == target && loan.expires > now_ ? 1 : 0;
    }
    cr_assert_leq(used, kSlots, "seed %lu: %zu slots of %s in use", seed_, used,
                  target.value().c_str());
  }

  // Checks that a borrower starts attempts only while the owner has an active
  // loan to it: the loan expires at the borrower first, and a duplicate of a
  // returned loan is not accepted.
  auto CheckLoan(int node, const TargetId& target) -> void {
    const auto& granted = nodes_[OwnerOf(target)].granted;
    const bool has_loan =
        std::any_of(granted.begin(), granted.end(), [&](const auto& entry) {
          const auto& loan = entry.second;
          return loan.borrower == NodeId(node) && loan.target == target &&
                 loan.expires > now_;
        });
    cr_assert(has_loan, "seed %lu: vm-%d uses %s without a loan", seed_, node,
              target.value().c_str());
  }

  auto CheckAllReleased() -> void {
    for (const auto& node : nodes_) {
      for (const auto& [id, request] : node.requests) {
        cr_assert(request.ended, "seed %lu: request %lu never ended", seed_,
                  id.value());
      }
      cr_assert_eq(node.dispatcher.lent_slots(), 0,
                   "seed %lu: lent slot not released", seed_);
      cr_assert_eq(node.dispatcher.borrowed_slots(), 0,
                   "seed %lu: borrowed slot not released", seed_);
      cr_assert_eq(node.dispatcher.slots_in_use(), 0,
                   "seed %lu: slot still in use", seed_);
      borrowed_ += node.dispatcher.counters().borrowed;
    }
    cr_assert_gt(borrowed_, 0, "seed %lu: nothing was borrowed", seed_);
  }

  std::uint64_t seed_;
  Random random_;
  TimePoint now_ = kStart;
  bool faults_ = true;
  std::vector<NodeModel> nodes_;
  std::vector<ScheduledEvent> scheduled_;
  std::uint64_t last_request_ = 0;
  std::uint64_t borrowed_ = 0;
};

// Guards against oversubscribed targets, requests that end twice or never,
// non-repeatable requests sent twice, a false "not run" outcome, and loans that
// never end, under the combinations of faults that the seeds produce.
Test(dispatch_faults, invariants_hold_under_message_faults_and_pauses) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FaultSimulation(seed).Run();
  }
}

}  // namespace
}  // namespace flamingoyoke
