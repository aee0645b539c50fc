#ifndef FLAMINGOYOKE_DECISION_FLEET_TABLE_PULL_STATE_H_
#define FLAMINGOYOKE_DECISION_FLEET_TABLE_PULL_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Timeout for one pull, after which the next peer is asked. A megabyte takes
// about 10 ms at 1 Gbit/s.
inline constexpr Duration kPullTimeout = std::chrono::milliseconds(300);
// Maximum number of pulls per source; afterwards heartbeats announce sources
// again.
inline constexpr std::size_t kMaxPullsPerSource = 2;
// Maximum number of sources per version.
inline constexpr std::size_t kMaxPullSources = 8;

// Pull of one version of one shard from the peers that announced it. Not
// thread-safe.
class TablePullState {
 public:
  // `now` is when a peer first announced the version.
  TablePullState(TableDigest wanted, TimePoint now)
      : wanted_(wanted), since_(now) {}

  [[nodiscard]] auto wanted() const -> const TableDigest& { return wanted_; }

  [[nodiscard]] auto since() const -> TimePoint { return since_; }
  // Number of pulls sent.
  [[nodiscard]] auto pulls_sent() const -> std::size_t { return pulls_sent_; }

  // Adds a peer that has the version.
  auto AddSource(const VmId& peer) -> void;

  // Returns the peer to ask now, or nothing while an answer is pending or once
  // IsExhausted.
  auto NextSource(TimePoint now) -> std::optional<VmId>;

  // Lets NextSource continue at once, because the last peer sent no valid
  // answer.
  auto AbandonPendingPull() -> void { deadline_.reset(); }

  // Whether to request the text as it is, since a compressed one could not be
  // read.
  [[nodiscard]] auto wants_plain_text() const -> bool {
    return wants_plain_text_;
  }
  // Discards the pending answer, which could not be expanded.
  auto RequestPlainText() -> void {
    wants_plain_text_ = true;
    AbandonPendingPull();
  }

  [[nodiscard]] auto IsExhausted(TimePoint now) const -> bool;
  [[nodiscard]] auto deadline() const -> std::optional<TimePoint> {
    return deadline_;
  }

 private:
  TableDigest wanted_;
  TimePoint since_;
  std::vector<VmId> sources_;
  std::size_t pulls_sent_ = 0;
  bool wants_plain_text_ = false;
  std::optional<TimePoint> deadline_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_TABLE_PULL_STATE_H_
