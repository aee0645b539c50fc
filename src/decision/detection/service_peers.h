#ifndef FLAMINGOYOKE_DECISION_DETECTION_SERVICE_PEERS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_SERVICE_PEERS_H_

#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/detection_event.h"

namespace flamingoyoke {

// The other nodes that use the targets of a service: the home members, of which
// some may be lost, and borrowers of slots outside the home set. Not
// thread-safe.
class ServicePeers {
 public:
  // Sets the home members. The first one issues ejection permits.
  auto Configure(const VmId& self, const std::vector<HomeMember>& home) -> void;

  // Records that a peer is lost, so that it is no verifier or borrower.
  auto OnLost(const VmId& peer) -> void;
  // Records a message. A lost peer issues permits again, and is a verifier
  // again after the next Configure or OnLost.
  auto OnHeard(const VmId& peer) -> void { lost_.erase(peer); }
  // Records a report of outcomes. A sender that is no home member is a
  // borrower.
  auto OnOutcomes(const VmId& sender, TimePoint now) -> void;
  auto ForgetBorrowers() -> void { borrowers_.clear(); }

  // Returns the members to ask for verification, in this order: those of other
  // failure domains come first.
  [[nodiscard]] auto verifiers() const -> const std::vector<VmId>& {
    return verifiers_;
  }
  // Returns the other home members, in order.
  [[nodiscard]] auto others() const -> const std::vector<VmId>& {
    return others_;
  }
  // Returns the nodes that get ejection notices, and forgets borrowers that
  // have sent no report for long.
  auto NoticeReceivers(TimePoint now) -> std::vector<VmId>;

  // Returns whether this node is the only home member, or there is none.
  [[nodiscard]] auto IsAlone() const -> bool;
  // Returns whether `vm` issues ejection permits.
  [[nodiscard]] auto IsPermitIssuer(const VmId& vm) const -> bool;
  // Returns whether the member that issues permits is there and not lost.
  [[nodiscard]] auto HasPermitIssuer() const -> bool;

 private:
  auto UpdateVerifiers() -> void;

  VmId self_;
  std::vector<HomeMember> home_;
  std::vector<VmId> others_;
  std::vector<VmId> verifiers_;
  std::set<VmId> lost_;
  // Borrowers and the time of their last report.
  std::map<VmId, TimePoint> borrowers_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_SERVICE_PEERS_H_
