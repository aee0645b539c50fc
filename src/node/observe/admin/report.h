#ifndef FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_H_
#define FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/fleet/fleet_view.h"
#include "node/messages.h"

namespace flamingoyoke {

// Data of the operators' report: the latest snapshot of each task of one node.
struct Report {
  std::shared_ptr<const FleetView> view;
  std::vector<ServiceReport> services;
  std::optional<TableRefused> refused;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_ADMIN_REPORT_H_
