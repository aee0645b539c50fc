#include "decision/fleet/report_verdict.h"

namespace flamingoyoke {
namespace {

auto IsDoubted(Liveness liveness) -> bool {
  return liveness == Liveness::kDead || liveness == Liveness::kSuspect;
}

// A chosen peer that cannot receive messages considers all others dead. This
// shows in the link to it, which is then not two-way.
auto IsSenderCutOff(const PeerLink* sender, TimePoint now) -> bool {
  return sender != nullptr && sender->is_chosen() && sender->was_two_way() &&
         !sender->IsTwoWay(now);
}

}  // namespace

auto JudgeReport(const Member& report,
                 const PeerLink* subject,
                 const PeerLink* sender,
                 TimePoint now) -> ReportVerdict {
  if (!IsDoubted(report.liveness)) {
    return ReportVerdict::kAccept;
  }
  if (subject != nullptr && subject->HasRecentHeartbeat(now)) {
    return ReportVerdict::kForward;
  }
  if (IsSenderCutOff(sender, now)) {
    return ReportVerdict::kReject;
  }
  // Without a two-way link to it, the sender may be cut off itself.
  return sender != nullptr && sender->IsTwoWay(now)
             ? ReportVerdict::kAccept
             : ReportVerdict::kAcceptAsDoubt;
}

auto JudgeReportOfSelf(const Member& report, const Member& self)
    -> SelfReportVerdict {
  if (self.incarnation < report.incarnation) {
    return SelfReportVerdict::kSuperseded;
  }
  if (report.incarnation < self.incarnation || report.version < self.version) {
    return SelfReportVerdict::kIgnore;
  }
  // A report of this VM's death, or an announcement from before a restart of
  // the fleet task.
  const bool is_same =
      report.version == self.version && report.liveness == Liveness::kAlive;
  return is_same ? SelfReportVerdict::kIgnore : SelfReportVerdict::kRefute;
}

auto IsUrgentReport(const Member& report, const MemberRecord* known) -> bool {
  if (report.liveness != Liveness::kAlive) {
    return true;
  }
  return known != nullptr &&
         (known->refutation_deadline ||
          (IsDoubted(known->member.liveness) &&
           known->member.incarnation == report.incarnation));
}

}  // namespace flamingoyoke
