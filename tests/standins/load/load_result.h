#ifndef FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_RESULT_H_
#define FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_RESULT_H_

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/name_table.h"
#include "core/time.h"
#include "standins/common/http_client.h"
#include "standins/load/load_options.h"

namespace flamingoyoke::standin {

// Collects the answers of one run. Not thread-safe.
class LoadResult {
 public:
  // Adds the answer to a request of `work_class`. `time` counts from the
  // scheduled arrival; `is_body_correct` tells whether the body was the
  // expected one.
  auto Add(WorkClass work_class,
           const HttpAnswer& answer,
           bool is_body_correct,
           Duration time,
           Duration deadline) -> void;

  // Returns counts and latency percentiles (milliseconds) by class.
  [[nodiscard]] auto ToJson() const -> nlohmann::json;

 private:
  struct ClassResult {
    std::uint64_t sent = 0;
    std::uint64_t ok = 0;
    std::uint64_t ok_within_deadline = 0;
    // Successful answers whose body belongs to another request, is truncated or
    // is corrupted.
    std::uint64_t wrong_body = 0;
    std::map<std::string, std::uint64_t> by_status;
    std::map<std::string, std::uint64_t> by_outcome;
    std::map<std::string, std::uint64_t> by_error;
    // Latencies of successful answers.
    std::vector<Duration> latencies;
  };

  static auto ToJson(const ClassResult& result) -> nlohmann::json;

  std::array<ClassResult, kEnumSize<WorkClass>> classes_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_RESULT_H_
