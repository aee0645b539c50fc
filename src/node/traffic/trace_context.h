#ifndef FLAMINGOYOKE_NODE_TRAFFIC_TRACE_CONTEXT_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/random.h"

namespace flamingoyoke {

// A position in a W3C trace.
struct TraceContext {
  // 32 lower-case hexadecimal digits.
  std::string trace_id;
  // 16 lower-case hexadecimal digits; the span that continues here.
  std::string span_id;
  // Empty for the first span of a trace.
  std::string parent_span_id;
  bool sampled = false;
};

// Parses a `traceparent` header; nothing if it is malformed, as the standard
// asks to start a new trace then. The result's span is the caller's.
// Thread-safe.
auto ParseTraceparent(std::string_view text) -> std::optional<TraceContext>;

// Returns the `traceparent` header that names `context`. Thread-safe.
auto FormatTraceparent(const TraceContext& context) -> std::string;

// Returns a new trace without a parent.
auto StartTrace(Random& random, bool sampled) -> TraceContext;

// Returns a new span below `parent`.
auto StartSpan(const TraceContext& parent, Random& random) -> TraceContext;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_TRACE_CONTEXT_H_
