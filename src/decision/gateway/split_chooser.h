#ifndef FLAMINGOYOKE_DECISION_GATEWAY_SPLIT_CHOOSER_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_SPLIT_CHOOSER_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "table/routing.h"

namespace flamingoyoke {

// Spreads the requests of a route over its services by their weights, with
// smooth weighted round robin: after any number of requests each service is
// less than one request away from its part. Not thread-safe.
class SplitChooser {
 public:
  // Returns the service for the next request of `route`, which has at least
  // one share. The reference holds as long as `route`.
  auto Choose(const Route& route) -> const ServiceId&;

 private:
  struct Credits {
    std::vector<ServiceShare> shares;
    std::vector<std::int64_t> credits;
  };

  std::unordered_map<std::string, Credits> routes_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_SPLIT_CHOOSER_H_
