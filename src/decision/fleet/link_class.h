#ifndef FLAMINGOYOKE_DECISION_FLEET_LINK_CLASS_H_
#define FLAMINGOYOKE_DECISION_FLEET_LINK_CLASS_H_

#include <array>

#include "core/name_table.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Where the other end of a link is. Bytes between failure domains cost more
// than those within one.
enum class LinkClass {
  kSameDomain,
  kOtherDomain,
  kOtherRegion,
  kUnknown,  // The peer is not connected to.
};

template <>
struct EnumNames<LinkClass> {
  static constexpr auto kTable = std::to_array<NameEntry<LinkClass>>({
      {LinkClass::kSameDomain, "same-domain"},
      {LinkClass::kOtherDomain, "other-domain"},
      {LinkClass::kOtherRegion, "other-region"},
      {LinkClass::kUnknown, "unknown"},
  });
};
static_assert(IsDense<LinkClass>());

// Thread-safe.
inline auto LinkClassOf(const Member& self, const Member& peer) -> LinkClass {
  if (self.region != peer.region) {
    return LinkClass::kOtherRegion;
  }
  return self.failure_domain == peer.failure_domain ? LinkClass::kSameDomain
                                                    : LinkClass::kOtherDomain;
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_LINK_CLASS_H_
