#ifndef FLAMINGOYOKE_CORE_SERVICE_SOURCE_H_
#define FLAMINGOYOKE_CORE_SERVICE_SOURCE_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke {

// Where a fleet gets its services and their targets from.
enum class ServiceSource {
  kTable,      // The operators' table defines routes and targets.
  kPublished,  // A published store holds routes and a registry of targets.
};

template <>
struct EnumNames<ServiceSource> {
  static constexpr auto kTable = std::to_array<NameEntry<ServiceSource>>({
      {ServiceSource::kTable, "table"},
      {ServiceSource::kPublished, "published"},
  });
};
static_assert(IsDense<ServiceSource>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_SERVICE_SOURCE_H_
