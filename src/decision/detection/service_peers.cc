#include "decision/detection/service_peers.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace flamingoyoke {
namespace {

// Nodes that used targets of this node within this time get its notices.
constexpr Duration kBorrowerRetention = std::chrono::seconds(10);
constexpr std::size_t kMaxBorrowers = 64;

}  // namespace

auto ServicePeers::Configure(const VmId& self,
                             const std::vector<HomeMember>& home) -> void {
  self_ = self;
  home_ = home;
  others_.clear();
  for (const auto& member : home_) {
    if (member.id != self_) {
      others_.push_back(member.id);
    }
  }
  UpdateVerifiers();
}

auto ServicePeers::OnLost(const VmId& peer) -> void {
  lost_.insert(peer);
  borrowers_.erase(peer);
  UpdateVerifiers();
}

auto ServicePeers::OnOutcomes(const VmId& sender, TimePoint now) -> void {
  const bool is_bounded =
      borrowers_.contains(sender) || borrowers_.size() < kMaxBorrowers;
  const bool is_home_member =
      std::any_of(home_.begin(), home_.end(),
                  [&](const auto& member) { return member.id == sender; });
  if (!is_home_member && is_bounded) {
    borrowers_[sender] = now;
  }
}

auto ServicePeers::NoticeReceivers(TimePoint now) -> std::vector<VmId> {
  std::erase_if(borrowers_, [&](const auto& entry) {
    return now - entry.second >= kBorrowerRetention;
  });
  auto receivers = others_;
  for (const auto& [borrower, at] : borrowers_) {
    receivers.push_back(borrower);
  }
  return receivers;
}

auto ServicePeers::IsAlone() const -> bool {
  return home_.empty() || (home_.size() == 1 && home_.front().id == self_);
}

auto ServicePeers::IsPermitIssuer(const VmId& vm) const -> bool {
  return !home_.empty() && home_.front().id == vm;
}

auto ServicePeers::HasPermitIssuer() const -> bool {
  return !home_.empty() && !lost_.contains(home_.front().id);
}

auto ServicePeers::UpdateVerifiers() -> void {
  FailureDomainId own_domain;
  for (const auto& member : home_) {
    if (member.id == self_) {
      own_domain = member.failure_domain;
    }
  }
  verifiers_.clear();
  std::vector<VmId> same_domain;
  for (const auto& member : home_) {
    if (member.id == self_ || lost_.contains(member.id)) {
      continue;
    }
    auto& list = member.failure_domain == own_domain ? same_domain : verifiers_;
    list.push_back(member.id);
  }
  verifiers_.insert(verifiers_.end(), same_domain.begin(), same_domain.end());
}

}  // namespace flamingoyoke
