#include "standins/upstream/upstream_counters.h"

#include <nlohmann/json.hpp>

namespace flamingoyoke::standin {

auto UpstreamCounters::ToJson() const -> std::string {
  const nlohmann::json counters = {{"received", received},
                                   {"executed", executed},
                                   {"answered", answered},
                                   {"shed", shed},
                                   {"failed", failed},
                                   {"abandoned", abandoned},
                                   {"probes", probes},
                                   {"bytes_received", bytes_received},
                                   {"in_flight", in_flight},
                                   {"queued", queued},
                                   {"by_key", by_key},
                                   {"by_id", by_id},
                                   {"max_in_flight", max_in_flight}};
  return counters.dump(-1, ' ', true,
                       nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace flamingoyoke::standin
