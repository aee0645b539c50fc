#ifndef FLAMINGOYOKE_DECISION_FLEET_REPORT_VERDICT_H_
#define FLAMINGOYOKE_DECISION_FLEET_REPORT_VERDICT_H_

#include <array>

#include "core/name_table.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_record.h"
#include "decision/fleet/peer_link.h"

namespace flamingoyoke {

// What a node does with a peer's report about another VM. A report of death may
// come from a peer that is cut off itself.
enum class ReportVerdict {
  kAccept,
  kAcceptAsDoubt,  // The VM may refute its death first.
  kReject,
  kForward,  // This node hears the VM, which gets the report for refutation.
};

template <>
struct EnumNames<ReportVerdict> {
  static constexpr auto kTable = std::to_array<NameEntry<ReportVerdict>>({
      {ReportVerdict::kAccept, "accept"},
      {ReportVerdict::kAcceptAsDoubt, "accept-as-doubt"},
      {ReportVerdict::kReject, "reject"},
      {ReportVerdict::kForward, "forward"},
  });
};
static_assert(IsDense<ReportVerdict>());

// What a node does with a peer's report about itself.
enum class SelfReportVerdict {
  kIgnore,
  kRefute,      // Announce a version newer than that of the report.
  kSuperseded,  // A later process with the same id has started.
};

template <>
struct EnumNames<SelfReportVerdict> {
  static constexpr auto kTable = std::to_array<NameEntry<SelfReportVerdict>>({
      {SelfReportVerdict::kIgnore, "ignore"},
      {SelfReportVerdict::kRefute, "refute"},
      {SelfReportVerdict::kSuperseded, "superseded"},
  });
};
static_assert(IsDense<SelfReportVerdict>());

// Judges a report about another VM. `subject` and `sender` are the links to
// that VM and to the sender of the report, null if there are none. Thread-safe.
auto JudgeReport(const Member& report,
                 const PeerLink* subject,
                 const PeerLink* sender,
                 TimePoint now) -> ReportVerdict;

// Judges a report about `self`. Thread-safe.
auto JudgeReportOfSelf(const Member& report, const Member& self)
    -> SelfReportVerdict;

// Returns whether a report tells of a death or of its refutation, which has a
// deadline. `known` is the record of the VM before the report is merged, null
// if there is none. Thread-safe.
auto IsUrgentReport(const Member& report, const MemberRecord* known) -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_REPORT_VERDICT_H_
