#include "decision/detection/ejection_permit_issuer.h"

namespace flamingoyoke {
namespace {

// Absorbs rounding in sums of weights.
constexpr double kTolerance = 1e-9;

}  // namespace

auto EjectionPermitIssuer::TryGrant(const ServiceRow& row,
                                    const TargetId& target,
                                    const std::set<TargetId>& out_of_use,
                                    TimePoint now) -> bool {
  std::erase_if(reserved_until_,
                [&](const auto& entry) { return entry.second <= now; });
  double total = 0;
  double remaining = 0;
  bool is_known = false;
  for (const auto& spec : row.targets) {
    total += spec.weight;
    is_known = is_known || spec.id == target;
    const bool is_out = spec.id == target || out_of_use.contains(spec.id) ||
                        reserved_until_.contains(spec.id);
    remaining += is_out ? 0 : spec.weight;
  }
  if (!is_known || remaining < row.floor * total - kTolerance) {
    return false;
  }
  reserved_until_[target] = now + kReservationDuration;
  return true;
}

}  // namespace flamingoyoke
