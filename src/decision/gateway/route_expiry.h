#ifndef FLAMINGOYOKE_DECISION_GATEWAY_ROUTE_EXPIRY_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_ROUTE_EXPIRY_H_

#include <map>
#include <string>

namespace flamingoyoke {

// Learns which routes allow less time than their work takes, so that it ends at
// the deadline on every target. Such an end says nothing about the target. Not
// thread-safe.
class RouteExpiry {
 public:
  // Bounds the memory; a service has a few dozen routes at most.
  static constexpr std::size_t kMostRoutes = 1000;

  // Adds an attempt that ended, at the deadline of its request or before.
  auto Add(const std::string& route, bool at_deadline) -> void;

  // Whether most of the last attempts of the route ended at the deadline.
  [[nodiscard]] auto IsTooShort(const std::string& route) const -> bool;

 private:
  // Share of attempts that ended at the deadline, 0 to 1, weighted towards the
  // last ones. Only routes that had one are kept.
  std::map<std::string, double> shares_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_ROUTE_EXPIRY_H_
