#include "decision/fleet/peer_links.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

auto PeerLinks::Choose(const std::vector<VmId>& chosen,
                       const std::set<VmId>& home,
                       TimePoint now) -> void {
  for (auto& [vm, link] : links_) {
    const bool stays =
        std::find(chosen.begin(), chosen.end(), vm) != chosen.end();
    if (link.is_chosen() && !stays) {
      link.MakeTemporary(now);
    }
  }
  for (const auto& vm : chosen) {
    auto found = links_.find(vm);
    if (found == links_.end()) {
      if (links_.size() >= max_peers_ && !EvictTemporaryPeer()) {
        continue;
      }
      found = links_.emplace(vm, PeerLink(now)).first;
      ++changes_;
    }
    found->second.MakeChosen(home.count(vm) > 0, now);
  }
}

auto PeerLinks::FindOrAdd(const VmId& vm, TimePoint now) -> PeerLink* {
  if (auto* link = Find(vm)) {
    return link;
  }
  if (links_.size() >= max_peers_ && !EvictTemporaryPeer()) {
    return nullptr;
  }
  ++changes_;
  return &links_.emplace(vm, PeerLink(now)).first->second;
}

auto PeerLinks::DropIdleTemporaryPeers(TimePoint now) -> void {
  for (auto it = links_.begin(); it != links_.end();) {
    const auto& link = it->second;
    if (link.is_chosen() ||
        now - link.last_activity() < kTemporaryPeerTimeout) {
      ++it;
      continue;
    }
    it = links_.erase(it);
    ++changes_;
  }
}

auto PeerLinks::Drop(const VmId& vm) -> void {
  changes_ += links_.erase(vm);
}

auto PeerLinks::Restart(TimePoint now) -> void {
  for (auto& [vm, link] : links_) {
    link.Restart(now);
  }
}

auto PeerLinks::Find(const VmId& vm) -> PeerLink* {
  const auto found = links_.find(vm);
  return found == links_.end() ? nullptr : &found->second;
}

auto PeerLinks::TwoWay(TimePoint now) const -> std::vector<VmId> {
  std::vector<VmId> peers;
  for (const auto& [vm, link] : links_) {
    if (link.IsTwoWay(now)) {
      peers.push_back(vm);
    }
  }
  return peers;
}

auto PeerLinks::SilentHome(TimePoint now) const -> std::set<VmId> {
  std::set<VmId> silent;
  for (const auto& [vm, link] : links_) {
    if (link.is_home() && link.Silence(now) >= link.limits().probe) {
      silent.insert(vm);
    }
  }
  return silent;
}

auto PeerLinks::SelectProbeHelpers(const VmId& subject,
                                   std::size_t count,
                                   Random& random,
                                   TimePoint now) const -> std::vector<VmId> {
  auto helpers = TwoWay(now);
  helpers.erase(std::remove(helpers.begin(), helpers.end(), subject),
                helpers.end());
  for (std::size_t i = 0; i < std::min(count, helpers.size()); ++i) {
    std::swap(helpers[i], helpers[i + random.Below(helpers.size() - i)]);
  }
  helpers.resize(std::min(count, helpers.size()));
  return helpers;
}

auto PeerLinks::EvictTemporaryPeer() -> bool {
  auto oldest = links_.end();
  for (auto it = links_.begin(); it != links_.end(); ++it) {
    if (!it->second.is_chosen() &&
        (oldest == links_.end() ||
         it->second.last_activity() < oldest->second.last_activity())) {
      oldest = it;
    }
  }
  if (oldest == links_.end()) {
    return false;
  }
  links_.erase(oldest);
  ++changes_;
  return true;
}

}  // namespace flamingoyoke
