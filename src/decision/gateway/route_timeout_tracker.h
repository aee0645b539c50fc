#ifndef FLAMINGOYOKE_DECISION_GATEWAY_ROUTE_TIMEOUT_TRACKER_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_ROUTE_TIMEOUT_TRACKER_H_

#include <map>
#include <string>

namespace flamingoyoke {

// Detects routes whose timeout is shorter than their requests take. Such
// requests time out on every target, so their timeouts are no evidence of an
// unhealthy target. Not thread-safe.
class RouteTimeoutTracker {
 public:
  // Bounds memory; a service has a few dozen routes at most.
  static constexpr std::size_t kMaxRoutes = 1000;

  // Records an ended attempt. `at_deadline` tells whether it ended at the
  // deadline of its request.
  auto Add(const std::string& route, bool at_deadline) -> void;

  // Returns whether most recent attempts of the route ended at the deadline.
  [[nodiscard]] auto IsTimeoutTooShort(const std::string& route) const -> bool;

 private:
  // Exponentially weighted share of attempts that ended at the deadline, 0 to
  // 1. Contains only routes with at least one recent timeout.
  std::map<std::string, double> timeout_shares_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_ROUTE_TIMEOUT_TRACKER_H_
