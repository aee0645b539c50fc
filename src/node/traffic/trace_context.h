#ifndef FLAMINGOYOKE_NODE_TRAFFIC_TRACE_CONTEXT_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/random.h"

namespace flamingoyoke {

// A span of a W3C trace.
struct TraceContext {
  // 32 lower-case hexadecimal digits.
  std::string trace_id;
  // 16 lower-case hexadecimal digits.
  std::string span_id;
  // Empty for the first span of a trace.
  std::string parent_span_id;
  bool sampled = false;
};

// Parses a `traceparent` header; span_id of the result is the caller's span.
// Returns nullopt if the header is malformed: the standard requires a new trace
// in that case. Thread-safe.
auto ParseTraceparent(std::string_view text) -> std::optional<TraceContext>;

// Returns the `traceparent` value for `context`. Thread-safe.
auto FormatTraceparent(const TraceContext& context) -> std::string;

// Returns the root span of a new trace.
auto StartTrace(Random& random, bool sampled) -> TraceContext;

// Returns a new child span of `parent`.
auto StartSpan(const TraceContext& parent, Random& random) -> TraceContext;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_TRACE_CONTEXT_H_
