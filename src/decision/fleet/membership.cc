#include "decision/fleet/membership.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "core/overloaded.h"
#include "decision/fleet/membership_timing.h"
#include "decision/fleet/report_verdict.h"

namespace flamingoyoke {

Membership::Membership(Member self, Random random)
    : self_(std::move(self)), random_(random), list_(self_.id) {
  self_.liveness = Liveness::kAlive;
  self_.version = 1;
}

auto Membership::OnEvent(const MembershipEvent& event, TimePoint now)
    -> std::vector<MembershipAction> {
  std::visit([&](const auto& each) { Handle(each, now); }, event);
  return CollectActions(now);
}

auto Membership::CutOff(TimePoint now) const -> std::vector<VmId> {
  std::vector<VmId> cut_off;
  for (const auto& [vm, link] : links_.links()) {
    const auto* record = list_.Find(vm);
    if (link.is_chosen() && !link.IsTwoWay(now) && record != nullptr &&
        record->member.liveness == Liveness::kAlive) {
      cut_off.push_back(vm);
    }
  }
  return cut_off;
}

auto Membership::Handle(const MembershipStarted& /*event*/, TimePoint now)
    -> void {
  heartbeats_.AdvanceSequence(now);
  // The random offset keeps nodes that start together from ticking together.
  next_tick_ =
      now + Duration(random_.Below(static_cast<std::uint64_t>(kTick.count())));
  contacts_.Start(now);
  next_tombstone_sweep_ = now + kTombstoneSweepPeriod;
}

auto Membership::Handle(const VmListSeeded& event, TimePoint now) -> void {
  list_.Seed(event.members, now);
}

auto Membership::Handle(const PeerEnvelope& envelope, TimePoint now) -> void {
  if (envelope.sender.empty()) {
    return;
  }
  if (envelope.sender == self_.id) {
    if (self_.incarnation < envelope.incarnation) {
      actions_.emplace_back(SelfSuperseded{envelope.incarnation});
    }
    return;
  }
  if (!resume_filter_.Accepts(envelope)) {
    return;
  }
  std::visit(
      [&](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<Message, Heartbeat> ||
                      std::is_same_v<Message, IndirectProbe> ||
                      std::is_same_v<Message, MemberUpdate>) {
          HandleMessage(envelope, message, now);
        }
      },
      envelope.message);
}

auto Membership::Handle(const SelfAnnounced& event, TimePoint now) -> void {
  heartbeats_.set_tables(event.tables);
  auto announced = self_;
  announced.ready = event.ready;
  announced.lost_source = event.lost_source;
  announced.capacity = event.capacity;
  announced.load = event.load;
  if (announced != self_) {
    self_ = announced;
    AnnounceSelf(now);
  }
}

auto Membership::Handle(const SourceConfirmed& event, TimePoint now) -> void {
  heartbeats_.SetSource(event, now);
  if (!event.announce) {
    return;
  }
  for (const auto& [vm, link] : links_.links()) {
    SendHeartbeat(vm, link, now);
  }
}

auto Membership::Handle(const HomePeersChanged& event, TimePoint /*now*/)
    -> void {
  peer_choice_.SetHomePeers(event, links_);
}

auto Membership::Handle(const LeavingDeclared& /*event*/, TimePoint now)
    -> void {
  if (!self_.leaving) {
    self_.leaving = true;
    AnnounceSelf(now);
  }
}

auto Membership::Handle(const MembershipResumed& /*event*/, TimePoint now)
    -> void {
  list_.MarkAllUnconfirmed(now);
  links_.Restart(now);
  // Other nodes may consider this VM dead by now.
  AnnounceSelf(now);
  heartbeats_.AdvanceSequence(now);
  resume_filter_.Start(heartbeats_.last_sequence());
  contacts_.Resume(now);
  list_sync_.Resume(now);
  next_tick_ = now;
}

auto Membership::Handle(const MembershipTimer& /*event*/, TimePoint now)
    -> void {
  if (update_dissemination_.due() && *update_dissemination_.due() <= now) {
    DisseminateUpdates();
  }
  if (next_tick_ && *next_tick_ <= now) {
    Tick(now);
    next_tick_ = now + kTick;
  }
}

auto Membership::HandleMessage(const PeerEnvelope& envelope,
                               const Heartbeat& heartbeat,
                               TimePoint now) -> void {
  const auto& sender = envelope.sender;
  const auto* record = list_.Find(sender);
  if (record == nullptr) {
    // The address of the sender is unknown; it announces itself until it gets
    // an answer.
    return;
  }
  if (envelope.incarnation < record->member.incarnation) {
    return;
  }
  // A new incarnation is disseminated once the VM announces it with its
  // address.
  list_.RecordMessage(sender, envelope.incarnation, now);
  const bool is_new = links_.Find(sender) == nullptr;
  if (is_new && !heartbeat.is_chosen && heartbeat.heard_sequence != 0) {
    // A temporary peer that was dropped here and is about to drop this VM, too.
    return;
  }
  auto* link = links_.FindOrAdd(sender, now);
  if (link == nullptr) {
    return;
  }
  if (heartbeat.is_chosen) {
    // Otherwise two temporary peers would keep each other's links open forever.
    link->RecordActivity(now);
  }
  if (!link->RecordHeartbeat(heartbeat, envelope.incarnation,
                             heartbeats_.last_sequence(), now)) {
    return;
  }
  if (record->member.liveness == Liveness::kDead) {
    // The VM has to refute its death for the whole fleet.
    SendMembers(sender, {ReportOf(*record), self_}, {});
    return;
  }
  if (record->member.liveness == Liveness::kSuspect) {
    list_.SetLiveness(sender, Liveness::kAlive, now);
  }
  if (heartbeat.leaving) {
    list_.SetLeaving(sender);
  }
  for (const auto& requester : pending_probes_.TakeRequesters(sender)) {
    Send(requester, IndirectProbe{sender, envelope.incarnation, true, true});
  }
  // The reply always acknowledges a sequence, so it is not replied to.
  if (is_new || heartbeat.heard_sequence == 0) {
    SendHeartbeat(sender, *link, now);
  }
  HandleDigest(sender, *link, heartbeat.membership_digest, now);
}

auto Membership::HandleDigest(const VmId& sender,
                              PeerLink& link,
                              std::uint64_t digest,
                              TimePoint now) -> void {
  switch (list_sync_.OnDigest(self_, list_, sender, digest, link, now)) {
    case DigestResult::kEqual:
      if (list_.unconfirmed_count() > 0) {
        list_.ConfirmAll(now);
      }
      return;
    case DigestResult::kDiffers:
      return;
    case DigestResult::kSyncDue:
      Send(sender, ListSync::MakeRequest(self_, list_));
      return;
  }
}

auto Membership::HandleMessage(const PeerEnvelope& envelope,
                               const IndirectProbe& probe,
                               TimePoint now) -> void {
  if (probe.reply) {
    const auto* record = list_.Find(probe.subject);
    auto* link = links_.Find(probe.subject);
    if (probe.reachable && record != nullptr && link != nullptr &&
        probe.incarnation == record->member.incarnation) {
      link->RecordIndirectAck(now);
      if (record->member.liveness == Liveness::kSuspect) {
        list_.SetLiveness(probe.subject, Liveness::kAlive, now);
      }
    }
    return;
  }
  const auto* record = list_.Find(probe.subject);
  if (record == nullptr || list_.Find(envelope.sender) == nullptr) {
    return;
  }
  const auto* known = links_.Find(probe.subject);
  if (known != nullptr && known->HasRecentHeartbeat(now) &&
      known->Silence(now) < kRecentHeartbeatAge) {
    Send(envelope.sender,
         IndirectProbe{probe.subject, record->member.incarnation, true, true});
    return;
  }
  pending_probes_.Add(envelope.sender, probe.subject, now);
  if (auto* link = links_.FindOrAdd(probe.subject, now)) {
    link->RecordActivity(now);
    SendHeartbeat(probe.subject, *link, now);
  }
}

auto Membership::HandleMessage(const PeerEnvelope& envelope,
                               const MemberUpdate& update,
                               TimePoint now) -> void {
  const auto& sender = envelope.sender;
  for (const auto& report : update.members) {
    HandleReport(sender, report, now);
  }
  const auto* record = list_.Find(sender);
  if (record == nullptr || envelope.incarnation < record->member.incarnation) {
    return;
  }
  list_.RecordMessage(sender, envelope.incarnation, now);
  auto* link = links_.FindOrAdd(sender, now);
  if (link != nullptr) {
    link->RecordActivity(now);
  }
  if (record->member.liveness == Liveness::kDead) {
    SendMembers(sender, {ReportOf(*record), self_}, {});
  }
  if (update.wants_answer || !update.bucket_digests.empty()) {
    for (auto& reply :
         list_sync_.MakeReply(self_, list_, sender, update, now)) {
      Send(sender, std::move(reply));
    }
  }
}

auto Membership::HandleReport(const VmId& sender,
                              const Member& report,
                              TimePoint now) -> void {
  if (report.id == self_.id) {
    HandleReportOfSelf(report, now);
    return;
  }
  const auto verdict =
      JudgeReport(report, links_.Find(report.id), links_.Find(sender), now);
  if (verdict == ReportVerdict::kForward) {
    SendMembers(report.id, {report}, {});
    return;
  }
  if (verdict == ReportVerdict::kReject) {
    return;
  }
  auto accepted = report;
  if (verdict == ReportVerdict::kAcceptAsDoubt) {
    accepted.liveness = Liveness::kSuspect;
  }
  const bool is_urgent = IsUrgentReport(report, list_.Find(report.id));
  VmId replaced;
  const auto result = list_.Merge(accepted, now, replaced);
  if (result == MergeResult::kUpdated) {
    update_dissemination_.AddChange(report.id, sender, now, is_urgent);
  }
  if (result == MergeResult::kUnchanged) {
    update_dissemination_.MarkKnownBy(report.id, sender);
  }
  if (!replaced.empty()) {
    links_.Drop(replaced);
    update_dissemination_.AddChange(replaced, {}, now);
  }
}

auto Membership::HandleReportOfSelf(const Member& report, TimePoint now)
    -> void {
  switch (JudgeReportOfSelf(report, self_)) {
    case SelfReportVerdict::kIgnore:
      return;
    case SelfReportVerdict::kRefute:
      self_.version = report.version;
      AnnounceSelf(now, /*is_urgent=*/true);
      return;
    case SelfReportVerdict::kSuperseded:
      actions_.emplace_back(SelfSuperseded{report.incarnation});
      return;
  }
}

auto Membership::Tick(TimePoint now) -> void {
  ++ticks_;
  heartbeats_.AdvanceSequence(now);
  if (contacts_.IsBootstrapOver(now)) {
    resume_filter_.Stop();
  }
  list_.ExpireRefutations(now);
  pending_probes_.Expire(now);
  links_.DropIdleTemporaryPeers(now);
  if (next_tombstone_sweep_ <= now) {
    list_.RemoveExpired(now);
    next_tombstone_sweep_ = now + kTombstoneSweepPeriod;
  }
  for (auto& [vm, link] : links_.links()) {
    if (link.is_chosen()) {
      CheckSilence(vm, link, now);
    }
    if (link.TakeReopenDue(now)) {
      actions_.emplace_back(ReopenLink{vm});
    }
  }
  ContactAbsentVms(now);
  ReplaceSilentPeers(now);
  for (const auto& [vm, link] : links_.links()) {
    if (link.is_home() || ticks_ % kTicksPerSlowHeartbeat == 0) {
      SendHeartbeat(vm, link, now);
    }
  }
}

auto Membership::CheckSilence(const VmId& vm, PeerLink& link, TimePoint now)
    -> void {
  const auto& limits = link.limits();
  const auto silence = link.Silence(now);
  if (silence < limits.probe) {
    return;
  }
  const auto* record = list_.Find(vm);
  if (record == nullptr || !IsPresent(*record)) {
    return;
  }
  if (link.IsProbeDue(now)) {
    link.RecordProbe(now);
    for (const auto& helper :
         links_.SelectProbeHelpers(vm, kIndirectProbeFanout, random_, now)) {
      Send(helper, IndirectProbe{vm, record->member.incarnation, false, false});
    }
  }
  if (silence < limits.suspect || link.HasRecentIndirectAck(now)) {
    return;
  }
  if (silence >= limits.dead) {
    list_.SetLiveness(vm, Liveness::kDead, now);
    update_dissemination_.AddChange(vm, {}, now, /*is_urgent=*/true);
    return;
  }
  list_.SetLiveness(vm, Liveness::kSuspect, now);
}

auto Membership::ContactAbsentVms(TimePoint now) -> void {
  // Sync requests are large, so only one of the contacts carries one.
  bool is_first = true;
  for (const auto& vm : contacts_.TakeAbsent(list_, links_, random_, now)) {
    const bool asks_for_sync = std::exchange(is_first, false);
    auto* link = links_.FindOrAdd(vm, now);
    if (link == nullptr) {
      continue;
    }
    link->RecordActivity(now);
    if (asks_for_sync) {
      Send(vm, ListSync::MakeRequest(self_, list_));
    } else {
      SendMembers(vm, {self_}, {});
    }
    SendHeartbeat(vm, *link, now);
  }
}

auto Membership::ReplaceSilentPeers(TimePoint now) -> void {
  for (const auto& vm :
       VmContacts::ReplacementsForSilent(list_, links_, random_, now)) {
    if (auto* link = links_.FindOrAdd(vm, now)) {
      link->RecordActivity(now);
      SendHeartbeat(vm, *link, now);
    }
  }
}

auto Membership::Send(const VmId& peer, PeerMessage message) -> void {
  actions_.emplace_back(SendToPeer{peer, std::move(message)});
}

auto Membership::SendHeartbeat(const VmId& peer,
                               const PeerLink& link,
                               TimePoint now) -> void {
  if (link.HeardSequence(now) == 0) {
    // The peer may not know this VM yet and could not answer.
    SendMembers(peer, {self_}, {});
  }
  Send(peer, heartbeats_.Write(self_, link, list_.Digest(self_), now));
}

auto Membership::SendMembers(const VmId& peer,
                             const std::vector<Member>& members,
                             MemberUpdate last) -> void {
  for (auto& update : SplitUpdate(members, std::move(last))) {
    Send(peer, std::move(update));
  }
}

auto Membership::DisseminateUpdates() -> void {
  const auto reports = update_dissemination_.TakeReports(
      self_, list_, links_, peer_choice_.domain_size());
  for (const auto& [peer, members] : reports) {
    SendMembers(peer, members, {});
  }
}

auto Membership::AnnounceSelf(TimePoint now, bool is_urgent) -> void {
  ++self_.version;
  update_dissemination_.AddChange(self_.id, {}, now, is_urgent);
}

auto Membership::CollectActions(TimePoint now)
    -> std::vector<MembershipAction> {
  peer_choice_.Update(self_, list_, links_, now);
  std::vector<MembershipAction> actions;
  // Must precede messages to new peers, which need a connection.
  if (auto selected = peer_choice_.TakeSelected(self_, list_, links_)) {
    actions.emplace_back(*std::move(selected));
  }
  std::move(actions_.begin(), actions_.end(), std::back_inserter(actions));
  actions_.clear();
  auto cut_off = CutOff(now);
  if (reported_changes_ != list_.change_count() ||
      reported_cut_off_ != cut_off) {
    reported_changes_ = list_.change_count();
    reported_cut_off_ = std::move(cut_off);
    actions.emplace_back(MembersChanged{});
  }
  auto wake = next_tick_;
  if (update_dissemination_.due() &&
      (!wake || *update_dissemination_.due() < *wake)) {
    wake = update_dissemination_.due();
  }
  if (wake && wake != scheduled_wake_) {
    scheduled_wake_ = wake;
    actions.emplace_back(WakeMembershipAt{*wake});
  }
  return actions;
}

}  // namespace flamingoyoke
