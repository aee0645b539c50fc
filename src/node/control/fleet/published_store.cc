#include "node/control/fleet/published_store.h"

#include <utility>

#include "core/result.h"
#include "decision/fleet/published_shard.h"
#include "wire/published_codec.h"

namespace flamingoyoke {

auto PublishedStore::Check(const TableDigest& digest, const std::string& text)
    -> std::optional<std::string> {
  const auto error =
      digest.shard == kRoutingShard
          ? CaptureInto(checked_routing_,
                        [&] { return DecodeRouting(text, digest.revision); })
          : CaptureInto(checked_registry_,
                        [&] { return DecodeRegistry(text, digest.revision); });
  if (checked_registry_) {
    checked_registry_->era = digest.era;
  }
  return error ? std::optional(error->detail) : std::nullopt;
}

auto PublishedStore::Activate(const TableDigest& digest) -> void {
  if (digest.shard == kRoutingShard && checked_routing_) {
    routing_ = std::make_shared<const Routing>(std::move(*checked_routing_));
    checked_routing_.reset();
  }
  if (digest.shard == kRegistryShard && checked_registry_) {
    registry_ = std::make_shared<const Registry>(std::move(*checked_registry_));
    checked_registry_.reset();
  }
}

}  // namespace flamingoyoke
