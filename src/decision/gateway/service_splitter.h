#ifndef FLAMINGOYOKE_DECISION_GATEWAY_SERVICE_SPLITTER_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_SERVICE_SPLITTER_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "table/routing.h"

namespace flamingoyoke {

// Distributes the requests of a route over its services by weight, using smooth
// weighted round robin: after any number of requests each service is less than
// one request away from its share. Not thread-safe.
class ServiceSplitter {
 public:
  // Returns the service for the next request of `route`, which must have at
  // least one share. The reference is valid as long as `route`.
  auto Choose(const Route& route) -> const ServiceId&;

 private:
  struct SplitState {
    std::vector<ServiceShare> shares;
    std::vector<std::int64_t> current_weights;
  };

  std::unordered_map<std::string, SplitState> routes_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_SERVICE_SPLITTER_H_
