#include "decision/fleet/table_dissemination.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

// The role of a new node depends on the time since its start, which needs no
// precise timer.
constexpr Duration kRoleCheckPeriod = std::chrono::milliseconds(100);
// After a version was accepted, the next one of the shard is pulled after this
// many times as long as this VM worked on it, at most kMaxPullPause. While
// hundreds of targets register or leave, there are dozens of versions in a
// second, and each contains those before it.
constexpr int kPullPauseFactor = 8;
constexpr Duration kMaxPullPause = std::chrono::milliseconds(200);

auto IsBefore(const TableDigest& a, const TableDigest& b) -> bool {
  return std::tie(a.era, a.revision, a.hash) <
         std::tie(b.era, b.revision, b.hash);
}

// Returns whether the version that `pull` names is newer than `digest`.
auto IsOlder(const TableDigest& digest, const TablePull& pull) -> bool {
  return std::tie(digest.era, digest.revision) <
         std::tie(pull.have_era, pull.have);
}

}  // namespace

TableDissemination::TableDissemination(std::uint32_t shard_count,
                                       Random random,
                                       FirstRead first_read)
    : shard_count_(shard_count), first_read_(first_read), random_(random) {}

auto TableDissemination::OnEvent(const TableDisseminationEvent& event,
                                 TimePoint now)
    -> std::vector<TableDisseminationAction> {
  std::visit([&](const auto& each) { Handle(each, now); }, event);
  ContinuePulls(now);
  return CollectActions(now);
}

auto TableDissemination::Digests() const -> std::vector<TableDigest> {
  std::vector<TableDigest> digests;
  if (shard_count_ <= kMaxShardsInHeartbeat) {
    for (const auto& [shard, version] : in_force_) {
      digests.push_back(version.digest);
    }
    return digests;
  }
  TableDigest sum;
  sum.shard = kAllShards;
  for (const auto& [shard, version] : in_force_) {
    sum.revision = std::max(sum.revision, version.digest.revision);
    sum.hash += RendezvousScore(version.digest.hash,
                                version.digest.revision.value() + shard);
  }
  digests.push_back(sum);
  return digests;
}

auto TableDissemination::Settled() const -> std::vector<TableDigest> {
  std::vector<TableDigest> settled;
  for (const auto& [shard, version] : in_force_) {
    settled.push_back(version.digest);
  }
  for (const auto& digest : rejected_) {
    settled.push_back(digest);
  }
  return settled;
}

auto TableDissemination::IsComplete() const -> bool {
  return in_force_.size() == shard_count_;
}

auto TableDissemination::HasReadNewest() const -> bool {
  return IsComplete() && started_ && currency_.IsKnownSince(*started_);
}

auto TableDissemination::CurrencyAge(TimePoint now) const
    -> std::optional<Duration> {
  if (!IsComplete() || !currency_.known_at()) {
    return std::nullopt;
  }
  return now - *currency_.known_at();
}

auto TableDissemination::PendingPulls(TimePoint now) const
    -> std::vector<PendingPull> {
  std::vector<PendingPull> pending;
  for (const auto& [shard, pull] : pulls_) {
    pending.push_back({pull.wanted(), now - pull.since(), pull.pulls_sent()});
  }
  return pending;
}

auto TableDissemination::InForce(std::uint32_t shard) const
    -> std::optional<TableDigest> {
  const auto found = in_force_.find(shard);
  if (found == in_force_.end()) {
    return std::nullopt;
  }
  return found->second.digest;
}

auto TableDissemination::TextOf(std::uint32_t shard, std::uint64_t hash) const
    -> const std::string* {
  const auto found = in_force_.find(shard);
  if (found != in_force_.end() && found->second.digest.hash == hash) {
    return &found->second.text;
  }
  return history_.Find(shard, hash);
}

auto TableDissemination::Handle(const TableDisseminationStarted& event,
                                TimePoint now) -> void {
  started_ = now;
  first_read_offset_ = random_.Unit();
  for (const auto& table : event.restored) {
    SubmitForCheck({table.digest, table.text, {}});
  }
}

auto TableDissemination::Handle(const TableFleetChanged& event,
                                TimePoint /*now*/) -> void {
  peers_ = event.peers;
  is_elected_ = event.is_elected;
  fleet_size_ = event.fleet_size;
  reads_first_ = event.reads_first;
}

auto TableDissemination::Handle(const TableTextRead& event, TimePoint /*now*/)
    -> void {
  has_read_ = true;
  SubmitForCheck({{event.shard, event.revision, HashOf(event.text), event.era},
                  event.text,
                  {}});
}

auto TableDissemination::Handle(const SourceRead& event, TimePoint /*now*/)
    -> void {
  currency_.OnOwnRead(event.requested_at);
}

auto TableDissemination::Handle(const TableDisseminationResumed& /*event*/,
                                TimePoint now) -> void {
  started_ = now;
}

auto TableDissemination::Handle(const TableChecked& event, TimePoint now)
    -> void {
  const auto found = candidates_.find(event.digest.shard);
  if (found == candidates_.end() || found->second.digest != event.digest) {
    return;
  }
  auto version = std::move(found->second);
  candidates_.erase(found);
  if (event.is_valid) {
    // Before that, this VM doesn't accept callers and catches up at once.
    const bool is_current = HasReadNewest();
    Accept(std::move(version), now);
    if (is_current) {
      PausePulls(event.digest.shard, event.took, now);
    }
    return;
  }
  rejected_.push_back(event.digest);
  if (rejected_.size() > kMaxRejectedVersions) {
    rejected_.pop_front();
  }
  const auto pull = pulls_.find(event.digest.shard);
  if (pull != pulls_.end() && pull->second.wanted() == event.digest) {
    pulls_.erase(pull);
  }
  actions_.emplace_back(TableRejected{event.digest, event.reason});
}

auto TableDissemination::Handle(const TableUnreadable& event, TimePoint /*now*/)
    -> void {
  const auto pull = pulls_.find(event.digest.shard);
  if (pull != pulls_.end() && pull->second.wanted() == event.digest) {
    pull->second.RequestPlainText();
  }
}

auto TableDissemination::Handle(const PeerEnvelope& envelope, TimePoint now)
    -> void {
  std::visit(
      [&](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<Message, Heartbeat> ||
                      std::is_same_v<Message, TableAnnounce> ||
                      std::is_same_v<Message, TablePull> ||
                      std::is_same_v<Message, TableData>) {
          HandleMessage(envelope.sender, message, now);
        }
      },
      envelope.message);
}

auto TableDissemination::Handle(const TableDisseminationTimer& /*event*/,
                                TimePoint /*now*/) -> void {
  // Pulls and the reader role are updated after every event.
  scheduled_wake_.reset();
}

auto TableDissemination::HandleMessage(const VmId& sender,
                                       const Heartbeat& heartbeat,
                                       TimePoint now) -> void {
  if (heartbeat.tables_age && heartbeat.heard_sequence != 0) {
    // The message may have been queued for long. It was sent after the one that
    // it acknowledges, and sequences follow the clock in milliseconds.
    const TimePoint acknowledged(std::chrono::milliseconds(
        static_cast<std::int64_t>(heartbeat.heard_sequence)));
    currency_.OnClaim(heartbeat.tables,
                      std::min(acknowledged, now) - *heartbeat.tables_age);
    currency_.Update(Digests());
  }
  for (const auto& digest : heartbeat.tables) {
    if (digest.shard == kAllShards) {
      HandleDigestSum(sender, digest, now);
    } else {
      AddPullSource(sender, digest, now);
    }
  }
}

auto TableDissemination::HandleMessage(const VmId& sender,
                                       const TableAnnounce& announce,
                                       TimePoint now) -> void {
  AddPullSource(sender, announce.digest, now);
}

auto TableDissemination::HandleMessage(const VmId& sender,
                                       const TablePull& pull,
                                       TimePoint /*now*/) -> void {
  if (pull.shard == kAllShards) {
    for (const auto& [shard, version] : in_force_) {
      actions_.emplace_back(SendToPeer{sender, TableAnnounce{version.digest}});
    }
    return;
  }
  const auto found = in_force_.find(pull.shard);
  if (found == in_force_.end() || IsOlder(found->second.digest, pull)) {
    return;
  }
  TableData answer{found->second.digest, found->second.text};
  if (pull.have_hash) {
    const auto* base = TextOf(pull.shard, *pull.have_hash);
    answer.base =
        base != nullptr ? TableBase{*pull.have_hash, *base} : TableBase();
  }
  actions_.emplace_back(SendToPeer{sender, std::move(answer)});
}

auto TableDissemination::HandleMessage(const VmId& sender,
                                       const TableData& data,
                                       TimePoint /*now*/) -> void {
  const auto pull = pulls_.find(data.digest.shard);
  if (HashOf(data.text) != data.digest.hash) {
    if (pull != pulls_.end()) {
      pull->second.AbandonPendingPull();
    }
    return;
  }
  SubmitForCheck({data.digest, data.text, sender});
}

// With many shards, heartbeats only carry the sum of the digests. A peer whose
// sum differs for long is asked for its digests.
auto TableDissemination::HandleDigestSum(const VmId& sender,
                                         const TableDigest& sum,
                                         TimePoint now) -> void {
  if (Digests().front() == sum || shard_count_ <= kMaxShardsInHeartbeat) {
    sum_mismatch_since_.erase(sender);
    return;
  }
  const auto since = sum_mismatch_since_.emplace(sender, now).first;
  if (IsComplete() && now - since->second < kDigestSumMismatchDelay) {
    return;
  }
  sum_mismatch_since_.clear();
  actions_.emplace_back(SendToPeer{sender, TablePull{kAllShards, Revision()}});
}

auto TableDissemination::SubmitForCheck(Version version) -> void {
  const auto digest = version.digest;
  if (digest.shard >= shard_count_ || !IsNewer(digest) || IsRejected(digest)) {
    return;
  }
  const auto found = candidates_.find(digest.shard);
  if (found != candidates_.end() && !IsBefore(found->second.digest, digest)) {
    return;
  }
  actions_.emplace_back(CheckTable{digest, version.text});
  candidates_[digest.shard] = std::move(version);
}

auto TableDissemination::Accept(Version version, TimePoint now) -> void {
  const auto digest = version.digest;
  if (!IsNewer(digest)) {
    return;
  }
  TableOrigin origin{.peer = version.sender};
  const auto pull = pulls_.find(digest.shard);
  if (pull != pulls_.end() && !IsBefore(digest, pull->second.wanted())) {
    origin.since_announced = now - pull->second.since();
    origin.pulls = pull->second.pulls_sent();
    pulls_.erase(pull);
  }
  actions_.emplace_back(TableAccepted{digest, version.text, origin});
  auto& in_force = in_force_[digest.shard];
  if (in_force.digest.hash != 0) {
    history_.Add(digest.shard, in_force.digest.hash, std::move(in_force.text));
  }
  in_force = std::move(version);
  currency_.Update(Digests());
  for (const auto& peer : peers_) {
    actions_.emplace_back(SendToPeer{peer, TableAnnounce{digest}});
  }
}

auto TableDissemination::AddPullSource(const VmId& peer,
                                       const TableDigest& digest,
                                       TimePoint now) -> void {
  if (digest.shard >= shard_count_ || digest.revision == Revision() ||
      !IsNewer(digest) || IsRejected(digest)) {
    return;
  }
  auto found = pulls_.find(digest.shard);
  if (found != pulls_.end() && IsBefore(digest, found->second.wanted())) {
    return;
  }
  if (found == pulls_.end() || IsBefore(found->second.wanted(), digest)) {
    found = pulls_.insert_or_assign(digest.shard, TablePullState(digest, now))
                .first;
  }
  found->second.AddSource(peer);
}

auto TableDissemination::ContinuePulls(TimePoint now) -> void {
  for (auto it = pulls_.begin(); it != pulls_.end();) {
    auto& pull = it->second;
    const auto shard = it->first;
    if (PauseOf(shard, now)) {
      pull_pauses_[shard].delays_pull = true;
      ++it;
      continue;
    }
    if (const auto peer = pull.NextSource(now)) {
      pull_pauses_[shard].delays_pull = false;
      const auto have = InForce(shard).value_or(TableDigest());
      TablePull message{shard, have.revision, have.era};
      if (!pull.wants_plain_text()) {
        message.have_hash = have.hash;
      }
      actions_.emplace_back(SendToPeer{*peer, message});
    }
    it = pull.IsExhausted(now) ? pulls_.erase(it) : std::next(it);
  }
}

auto TableDissemination::PausePulls(std::uint32_t shard,
                                    Duration took,
                                    TimePoint now) -> void {
  auto& pause = pull_pauses_[shard];
  // A VM that reads the store may accept versions of its own so often that a
  // pause which each of them prolongs never ends.
  if (pause.delays_pull && pulls_.contains(shard)) {
    return;
  }
  pause = {now + std::min(kPullPauseFactor * took, kMaxPullPause), false};
}

auto TableDissemination::PauseOf(std::uint32_t shard, TimePoint now) const
    -> std::optional<TimePoint> {
  const auto found = pull_pauses_.find(shard);
  return found != pull_pauses_.end() && found->second.until > now
             ? std::optional(found->second.until)
             : std::nullopt;
}

auto TableDissemination::IsNewer(const TableDigest& digest) const -> bool {
  const auto found = in_force_.find(digest.shard);
  return found == in_force_.end() || IsBefore(found->second.digest, digest);
}

auto TableDissemination::IsRejected(const TableDigest& digest) const -> bool {
  return std::find(rejected_.begin(), rejected_.end(), digest) !=
         rejected_.end();
}

auto TableDissemination::KnownRevision() const -> Revision {
  // A missing shard must be read whatever its revision is.
  if (!IsComplete() && rejected_.empty()) {
    return Revision();
  }
  std::map<std::uint32_t, Revision> newest;
  for (const auto& [shard, version] : in_force_) {
    newest[shard] = version.digest.revision;
  }
  for (const auto& digest : rejected_) {
    newest[digest.shard] = std::max(newest[digest.shard], digest.revision);
  }
  if (newest.size() < shard_count_) {
    return Revision();
  }
  return std::min_element(
             newest.begin(), newest.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->second;
}

auto TableDissemination::ShouldRead(TimePoint now) const -> bool {
  if (is_elected_) {
    return true;
  }
  if (!started_ || now < FirstReadDue()) {
    return false;
  }
  if (first_read_ == FirstRead::kBeforeReady) {
    return !HasReadNewest();
  }
  if (has_read_ && IsComplete()) {
    return false;
  }
  return !IsComplete() || now < FirstReadDue() + kFirstReadTimeout;
}

auto TableDissemination::FirstReadDue() const -> TimePoint {
  const auto least_jitter = first_read_ == FirstRead::kBeforeReady
                                ? kPromptReadJitter
                                : kFirstReadJitter;
  const auto jitter =
      std::max(least_jitter, Duration(static_cast<std::int64_t>(
                                 static_cast<double>(fleet_size_) *
                                 shard_count_ / kFirstReadsPerSecond * 1e6)));
  const bool waits_for_peers = first_read_ == FirstRead::kBeforeReady &&
                               !reads_first_ && fleet_size_ > kMaxPromptReaders;
  return *started_ + (waits_for_peers ? kPeerTableWait : Duration::zero()) +
         Duration(static_cast<std::int64_t>(
             first_read_offset_ * static_cast<double>(jitter.count())));
}

auto TableDissemination::RoleCheckDue(bool is_reader, TimePoint now) const
    -> std::optional<TimePoint> {
  if (!started_ || is_elected_) {
    return std::nullopt;
  }
  if (first_read_ == FirstRead::kBeforeReady) {
    const bool is_waiting = !is_reader && !HasReadNewest();
    return is_waiting ? std::optional(std::max(FirstReadDue(), now))
                      : std::nullopt;
  }
  const bool may_change = !IsComplete() || is_reader;
  return may_change ? std::optional(now + kRoleCheckPeriod) : std::nullopt;
}

auto TableDissemination::CollectActions(TimePoint now)
    -> std::vector<TableDisseminationAction> {
  const ReaderRoleSet role{ShouldRead(now), KnownRevision()};
  if (reported_role_ != role) {
    reported_role_ = role;
    actions_.emplace_back(role);
  }
  auto wake = RoleCheckDue(role.is_reader, now);
  for (const auto& [shard, pull] : pulls_) {
    const auto pause = PauseOf(shard, now);
    const auto due = pause ? pause : pull.deadline();
    if (due && (!wake || *due < *wake)) {
      wake = due;
    }
  }
  if (wake && (!scheduled_wake_ || *wake < *scheduled_wake_)) {
    scheduled_wake_ = wake;
    actions_.emplace_back(WakeTableDisseminationAt{*wake});
  }
  return std::exchange(actions_, {});
}

}  // namespace flamingoyoke
