#include "node/traffic/request_admission.h"

#include <event2/buffer.h>
#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "core/overloaded.h"
#include "node/traffic/error_response.h"

namespace flamingoyoke {
namespace {

struct HashDeleter {
  auto operator()(XXH3_state_t* state) const -> void { XXH3_freeState(state); }
};

// Returns a hash of method, target and body. A key that is reused for another
// request is detected by it, instead of returning the wrong response.
auto FingerprintOf(const CallerExchange& exchange) -> std::uint64_t {
  const std::unique_ptr<XXH3_state_t, HashDeleter> state(XXH3_createState());
  XXH3_64bits_reset(state.get());
  const auto& head = exchange.head();
  XXH3_64bits_update(state.get(), head.method.data(), head.method.size() + 1);
  XXH3_64bits_update(state.get(), head.target.data(), head.target.size() + 1);
  const int count = evbuffer_peek(exchange.body(), -1, nullptr, nullptr, 0);
  std::vector<evbuffer_iovec> parts(
      static_cast<std::size_t>(std::max(count, 0)));
  evbuffer_peek(exchange.body(), -1, nullptr, parts.data(), count);
  for (const auto& part : parts) {
    XXH3_64bits_update(state.get(), part.iov_base, part.iov_len);
  }
  return XXH3_64bits_digest(state.get());
}

// Returns the member that issued the key, or null if its process is known to
// have ended.
auto FindIssuer(const RejectKeyedRequest& refused, const FleetView& view)
    -> const Member* {
  for (const auto& member : view.members) {
    if (member.id == refused.issuer) {
      const bool gone =
          member.liveness == Liveness::kDead ||
          member.incarnation.value() > refused.issuer_incarnation.value();
      return gone ? nullptr : &member;
    }
  }
  return nullptr;
}

auto ReplyRefused(CallerExchange& exchange,
                  const RejectKeyedRequest& refused,
                  const FleetView& view) -> void {
  if (refused.error != ErrorKind::kKeyIssuedElsewhere) {
    exchange.ReplyError(refused.error);
    return;
  }
  const auto* issuer = FindIssuer(refused, view);
  if (issuer == nullptr) {
    exchange.ReplyError(ErrorKind::kKeyIssuerGone);
    return;
  }
  auto head = MakeErrorHead(refused.error);
  head.headers.emplace_back(
      "Location", "http://" + issuer->address + exchange.head().target);
  exchange.Reply(head, MakeErrorBody(refused.error));
}

auto ReplyStored(CallerExchange& exchange, const StoredResponse& answer)
    -> void {
  ResponseHead head{answer.status, answer.reason, {}};
  for (const auto& header : answer.headers) {
    head.headers.push_back(header);
  }
  exchange.Reply(head, answer.body);
}

}  // namespace

RequestAdmission::RequestAdmission(KeyLedger& ledger,
                                   Random random,
                                   double trace_sample_rate)
    : ledger_(ledger), random_(random), trace_sample_rate_(trace_sample_rate) {}

auto RequestAdmission::Admit(std::unique_ptr<CallerExchange> exchange,
                             const ServiceRow& row,
                             const FleetView& view,
                             const AdmitsDeadline& admits_deadline,
                             Duration waited,
                             TimePoint now) -> std::optional<ServiceRequest> {
  std::optional<CallerHeaders> headers;
  const auto error = CaptureInto(
      headers, [&] { return ReadCallerHeaders(exchange->head().headers); });
  if (error) {
    exchange->ReplyError(error->kind);
    return std::nullopt;
  }
  const bool uses_key = row.key_policy != KeyPolicy::kNone && headers->key;
  if (row.key_policy == KeyPolicy::kRequired && !uses_key) {
    exchange->ReplyError(ErrorKind::kKeyRequired);
    return std::nullopt;
  }
  auto request = MakeRequest(std::move(exchange), *headers, row, now - waited);
  if (!admits_deadline(request.deadline)) {
    request.exchange->ReplyError(ErrorKind::kLeaving);
    return std::nullopt;
  }
  if (uses_key && !ClaimKey(request, *headers->key, view, now)) {
    return std::nullopt;
  }
  return request;
}

auto RequestAdmission::MakeRequest(std::unique_ptr<CallerExchange> exchange,
                                   const CallerHeaders& headers,
                                   const ServiceRow& row,
                                   TimePoint arrived) -> ServiceRequest {
  const auto body_bytes = evbuffer_get_length(exchange->body());
  ServiceRequest request;
  request.id = RequestId(++last_request_);
  request.forwarded = MakeForwardedHead(exchange->head(), body_bytes);
  if (headers.key) {
    request.forwarded.headers.emplace_back(kKeyHeader,
                                           FormatIdempotencyKey(*headers.key));
  }
  request.team = headers.team;
  request.work_class = row.long_bytes > 0 && body_bytes >= row.long_bytes
                           ? WorkClass::kLong
                           : WorkClass::kShort;
  request.repeatable = row.repeatable;
  request.arrived = arrived;
  // A caller can shorten the deadline of the row, but not extend it.
  request.deadline =
      arrived + std::min(headers.deadline.value_or(row.deadline), row.deadline);
  request.trace =
      headers.trace ? StartSpan(*headers.trace, random_)
                    : StartTrace(random_, random_.Unit() < trace_sample_rate_);
  request.exchange = std::move(exchange);
  return request;
}

auto RequestAdmission::ClaimKey(ServiceRequest& request,
                                const IdempotencyKey& key,
                                const FleetView& view,
                                TimePoint now) -> bool {
  const auto actions = ledger_.OnEvent(
      KeyedRequestReceived{request.id, key, FingerprintOf(*request.exchange)},
      now);
  for (const auto& action : actions) {
    std::visit(Overloaded{
                   [&](const RunKeyedRequest&) { request.keyed = true; },
                   [&](const ReplayResponse& replay) {
                     ReplyStored(*request.exchange, *replay.response);
                   },
                   [&](const RejectKeyedRequest& refused) {
                     ReplyRefused(*request.exchange, refused, view);
                   },
               },
               action);
  }
  return request.keyed;
}

}  // namespace flamingoyoke
