#ifndef FLAMINGOYOKE_DECISION_PLATFORM_TARGET_REPORT_ORDER_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_TARGET_REPORT_ORDER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"
#include "table/registry.h"

namespace flamingoyoke {

// What is known of a target beside its entry in a list of the store.
enum class EntryAge {
  kCurrent,     // Nothing newer.
  kOlder,       // A newer report.
  kBeforeLeft,  // The target left, or reported that it leaves, in an earlier
                // era. The entry is that of a copy from before.
};

template <>
struct EnumNames<EntryAge> {
  static constexpr auto kTable = std::to_array<NameEntry<EntryAge>>({
      {EntryAge::kCurrent, "current"},
      {EntryAge::kOlder, "older"},
      {EntryAge::kBeforeLeft, "before-left"},
  });
};
static_assert(IsDense<EntryAge>());

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

  // Returns the age of the entry `listed`, from a list of the store in `era`.
  // Only a current one may be used. A removed target may have sent reports that
  // this VM didn't see, so any entry of the same start may be one of them.
  [[nodiscard]] auto AgeInList(const RegisteredTarget& listed,
                               StoreEra era,
                               TimePoint now) const -> EntryAge;

  // Returns whether the entry of a target was removed and nothing was recorded
  // for it since.
  [[nodiscard]] auto IsRemoved(const TargetId& target) const -> bool;

  // Records a report that is in the store in `era`, unless it is outdated.
  auto Record(const RegisteredTarget& report, StoreEra era, TimePoint now)
      -> void;

  // Does the same for a target in force. Nothing changes if its report is known
  // already: the registry may be older than a removal, and was not built from
  // an entry that was written in its era.
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
    // Era of the entry or the removal that this was read from.
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
