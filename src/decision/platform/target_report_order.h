#ifndef FLAMINGOYOKE_DECISION_PLATFORM_TARGET_REPORT_ORDER_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_TARGET_REPORT_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "core/ids.h"
#include "core/time.h"
#include "table/registry.h"

namespace flamingoyoke {

// Orders the reports of each target by its start and their number, whichever
// way they arrive. A report that was held up on its way to the store must not
// replace a newer one, and neither must the entry of an older copy of the store
// after the target left. Not thread-safe.
class TargetReportOrder {
 public:
  // An older report is accepted after this time without a newer one. Only then
  // can a target be told from an old report of it whose clock was set back
  // before a restart, or that once sent a number that is too high. Longer than
  // the copy is old from which a store returns.
  static constexpr Duration kTrustTime = std::chrono::seconds(30);

  // Returns whether a newer report of the target is known.
  [[nodiscard]] auto IsOutdated(const RegisteredTarget& report,
                                TimePoint now) const -> bool;

  // Returns whether the entry `listed`, from a list of the store in `era`, must
  // not be used: a newer report is known, or the target left in an earlier era
  // and has reported nothing since.
  [[nodiscard]] auto IsOutdatedInList(const RegisteredTarget& listed,
                                      StoreEra era,
                                      TimePoint now) const -> bool;

  // Records a report that is in the store in `era`, unless it is outdated.
  auto Record(const RegisteredTarget& report, StoreEra era, TimePoint now)
      -> void;

  // Does the same for a target in force, which says nothing new about a target
  // whose removal was recorded: the registry in force may be older.
  auto RecordInForce(const RegisteredTarget& report,
                     StoreEra era,
                     TimePoint now) -> void;

  // Records that the entry of a target was removed in `era`. Does nothing if no
  // report of the target is known.
  auto RecordRemoval(const TargetId& target, StoreEra era, TimePoint now)
      -> void;

  // Forgets the targets without a newer report for kTrustTime, whose reports
  // are all accepted anyway.
  auto Prune(TimePoint now) -> void;

  [[nodiscard]] auto size() const -> std::size_t { return newest_.size(); }

 private:
  struct Newest {
    std::int64_t started_ms = 0;
    std::uint64_t sequence = 0;
    // When the first report with this number, or the removal, arrived.
    TimePoint recorded;
    // Latest era in which the store had this state.
    StoreEra era;
    bool is_leaving = false;
    bool is_removed = false;
  };

  [[nodiscard]] static auto IsOlder(const RegisteredTarget& report,
                                    const Newest& newest,
                                    TimePoint now) -> bool;
  [[nodiscard]] static auto IsSameReport(const RegisteredTarget& report,
                                         const Newest& newest) -> bool;
  static auto Update(const RegisteredTarget& report,
                     StoreEra era,
                     TimePoint now,
                     Newest& newest) -> void;

  std::map<TargetId, Newest> newest_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_TARGET_REPORT_ORDER_H_
