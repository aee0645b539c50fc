#ifndef FLAMINGOYOKE_DECISION_FLEET_SOURCE_FRESHNESS_H_
#define FLAMINGOYOKE_DECISION_FLEET_SOURCE_FRESHNESS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Bounds the age of the configuration and the registry that a VM acts on. The
// readers of the published store confirm with every heartbeat that they follow
// it, and all VMs pass the newest confirmation on whose versions they have in
// force (TableConfirmations). A VM that got none for `max_age` reads the store
// itself, whatever share of the fleet was lost, however late the membership
// notices it, and whatever keeps the news of its peers from it. A confirmation
// of an earlier era of the store confirms nothing. Not thread-safe.
class SourceFreshness {
 public:
  // No VM is out of date until this long after its start or the end of a pause:
  // it reads the store then anyway, and its links are not established yet.
  static constexpr Duration kStartGrace = std::chrono::seconds(3);
  // VMs that are out of date at the same moment spread their reads over this
  // time for each VM of the fleet, up to half of the maximum age. The first one
  // to read confirms at once, which stops the others.
  static constexpr Duration kSpreadPerVm = std::chrono::milliseconds(2);
  // Maximum number of readers whose order of confirmations is kept.
  static constexpr std::size_t kMaxReaders = 64;

  SourceFreshness(VmId self,
                  Incarnation incarnation,
                  Duration max_age,
                  Random random);

  // The process started, or resumed after a pause.
  auto OnStarted(TimePoint now) -> void;
  // This VM follows the store of `era`. `is_elected` tells whether it is one of
  // the elected readers, `available_since` since when the store has been
  // available without an outage, if this VM knows. Precondition:
  // `available_since` is not later than `now`.
  auto OnFollowing(bool is_elected,
                   StoreEra era,
                   std::optional<TimePoint> available_since,
                   TimePoint now) -> void;
  // The store has returned in `era`, unless a later one is known.
  auto OnEra(StoreEra era) -> void { era_ = std::max(era_, era); }
  // A peer passed on a confirmation, and all versions that came with it are in
  // force or were rejected here.
  auto OnConfirmation(const SourceConfirmation& confirmation, TimePoint now)
      -> void;
  // Sets the number of known VMs.
  auto SetFleetSize(std::size_t size) -> void { fleet_size_ = size; }

  // Returns the newest confirmation, for heartbeats; nothing if there is none.
  [[nodiscard]] auto Newest(TimePoint now) const
      -> std::optional<SourceConfirmation>;
  // Returns since when the store has been available without an outage by the
  // newest confirmation; nothing if that does not tell.
  [[nodiscard]] auto AvailableSince() const -> std::optional<TimePoint>;
  // Returns whether a confirmation arrived that is so much newer than the one
  // before that the peers must learn it at once. True once for each.
  [[nodiscard]] auto TakeAnnouncementDue() -> bool;

  // Returns whether this VM must read the store although it is no elected
  // reader. It goes on until a better reader confirms.
  [[nodiscard]] auto ShouldRead(TimePoint now) -> bool;
  // Returns when ShouldRead() may become true without another event.
  [[nodiscard]] auto due() const -> TimePoint;
  // Returns the age of the view: the time since the newest confirmation, but no
  // more than the start allows.
  [[nodiscard]] auto Age(TimePoint now) const -> Duration;
  // Returns the time since the newest confirmation; nothing if there was none
  // since the start or the last pause.
  [[nodiscard]] auto NewestAge(TimePoint now) const -> std::optional<Duration>;

 private:
  auto Confirm(const SourceConfirmation& confirmation, TimePoint at) -> void;
  [[nodiscard]] auto IsBetterReader(const SourceConfirmation& other) const
      -> bool;

  const VmId self_;
  const Incarnation incarnation_;
  const Duration max_age_;
  Random random_;
  std::size_t fleet_size_ = 1;
  std::uint64_t sequence_ = 0;
  // Latest known era of the store.
  StoreEra era_;
  // Newest confirmation, and when its reader followed the store.
  std::optional<SourceConfirmation> newest_;
  TimePoint newest_at_;
  // The time from which this VM counts the age of its view: that of the newest
  // confirmation, but no earlier than the start allows.
  TimePoint confirmed_at_;
  bool is_announcement_due_ = false;
  // When a reader that this VM stops reading for last confirmed.
  std::optional<TimePoint> better_confirmed_at_;
  bool is_substitute_ = false;
  // Position of this VM's read within the spread, 0 to 1.
  double offset_ = 0;
  // Newest confirmation of each reader: a late one must not count again.
  std::map<VmId, std::pair<Incarnation, std::uint64_t>> seen_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_SOURCE_FRESHNESS_H_
