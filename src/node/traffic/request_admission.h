#ifndef FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_ADMISSION_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/ids.h"
#include "core/random.h"
#include "core/result.h"
#include "core/time.h"
#include "decision/fleet/fleet_view.h"
#include "decision/idempotency/key_ledger.h"
#include "node/traffic/caller_exchange.h"
#include "node/traffic/caller_headers.h"
#include "node/traffic/service_request.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Validates the headers of a caller's request and checks its idempotency key
// against the ledger before the service runs it. Responds to the requests that
// it refuses. Not thread-safe.
class RequestAdmission {
 public:
  // `trace_sample_rate` is the probability that a request without a valid
  // `traceparent` starts a sampled trace.
  RequestAdmission(KeyLedger& ledger, Random random, double trace_sample_rate);

  // Returns whether this VM still takes a request with the deadline. It does
  // not if it would have to cut the request off in its shutdown.
  using AdmitsDeadline = std::function<bool(TimePoint deadline)>;

  // Returns the admitted request, or nullopt if a response was sent. `view` is
  // used to find the issuer of a key from another VM. `waited` is how long the
  // request was queued here before `now`, which counts for its deadline.
  auto Admit(std::unique_ptr<CallerExchange> exchange,
             const ServiceRow& row,
             const FleetView& view,
             const AdmitsDeadline& admits_deadline,
             Duration waited,
             TimePoint now) -> std::optional<ServiceRequest>;

 private:
  auto MakeRequest(std::unique_ptr<CallerExchange> exchange,
                   const CallerHeaders& headers,
                   const ServiceRow& row,
                   TimePoint arrived) -> ServiceRequest;
  // Returns whether the ledger allows the request to run; responds if not.
  auto ClaimKey(ServiceRequest& request,
                const IdempotencyKey& key,
                const FleetView& view,
                TimePoint now) -> bool;

  KeyLedger& ledger_;
  Random random_;
  const double trace_sample_rate_;
  std::uint64_t last_request_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_REQUEST_ADMISSION_H_
