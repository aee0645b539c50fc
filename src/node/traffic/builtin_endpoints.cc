#include "node/traffic/builtin_endpoints.h"

#include <nlohmann/json.hpp>
#include <string>

#include "decision/fleet/address_selection.h"
#include "decision/idempotency/idempotency_key.h"
#include "node/traffic/http_text.h"

namespace flamingoyoke {
namespace {

constexpr std::string_view kAddressesPath = "/.flamingoyoke/addresses";
constexpr std::string_view kKeysPath = "/.flamingoyoke/keys";
constexpr int kOk = 200;

auto ReplyJson(CallerExchange& exchange, const nlohmann::json& json) -> void {
  // Ids from the settings and the table may contain invalid UTF-8, for which
  // the default error handler would throw.
  const auto text =
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  exchange.Reply(
      {kOk,
       "OK",
       {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}},
      text + "\n");
}

auto HandleAddresses(CallerExchange& exchange,
                     const BuiltinEndpointsContext& context,
                     const ServiceRow& row,
                     Random& random) -> void {
  if (!context.addresses_known) {
    exchange.ReplyError(ErrorKind::kNotReady);
    return;
  }
  const FailureDomainId domain(
      QueryParameter(exchange.head().target, "failure_domain").value_or(""));
  auto addresses = nlohmann::json::array();
  for (const auto& member :
       SelectAddresses(*context.view, row.service, domain, random)) {
    addresses.push_back({{"vm", member.id.value()},
                         {"address", member.address},
                         {"failure_domain", member.failure_domain.value()}});
  }
  ReplyJson(exchange, {{"service", row.service.value()},
                       {"revision", context.view->table->revision.value()},
                       {"ttl_ms", ToMilliseconds(context.address_ttl)},
                       {"addresses", std::move(addresses)}});
}

auto HandleKeyIssue(CallerExchange& exchange,
                    const BuiltinEndpointsContext& context,
                    Random& random) -> void {
  if (context.leaving) {
    exchange.ReplyError(ErrorKind::kLeaving);
    return;
  }
  const auto key = context.ledger.Issue(context.now, random.Next());
  ReplyJson(exchange,
            {{"key", FormatIdempotencyKey(key)},
             {"expires_ms", ToMilliseconds(context.key_limits.key_lifetime)}});
}

}  // namespace

auto HandleBuiltinEndpoint(CallerExchange& exchange,
                           const BuiltinEndpointsContext& context,
                           Random& random) -> void {
  const auto& head = exchange.head();
  const auto path = PathOf(head.target);
  const bool addresses = head.method == "GET" && path == kAddressesPath;
  const bool keys = head.method == "POST" && path == kKeysPath;
  if (!addresses && !keys) {
    exchange.ReplyError(ErrorKind::kNoRoute);
    return;
  }
  if (context.view == nullptr || !context.view->table) {
    exchange.ReplyError(ErrorKind::kNotReady);
    return;
  }
  const auto service = QueryParameter(head.target, "service");
  const auto* row =
      service ? context.routes.FindService(ServiceId(*service)) : nullptr;
  if (row == nullptr) {
    exchange.ReplyError(ErrorKind::kUnknownService);
    return;
  }
  if (addresses) {
    HandleAddresses(exchange, context, *row, random);
    return;
  }
  HandleKeyIssue(exchange, context, random);
}

}  // namespace flamingoyoke
