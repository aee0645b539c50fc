#ifndef FLAMINGOYOKE_CORE_IDS_H_
#define FLAMINGOYOKE_CORE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace flamingoyoke {

// A strongly typed string identifier: ids of different kinds do not convert
// into each other.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] auto value() const -> const std::string& { return value_; }
  [[nodiscard]] auto empty() const -> bool { return value_.empty(); }

  // clang-tidy 14 takes the defaulted operator for a null pointer.
  auto operator<=>(const StringId&) const = default;  // NOLINT

 private:
  std::string value_;
};

// A strongly typed unsigned number.
template <typename Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t value) : value_(value) {}

  [[nodiscard]] constexpr auto value() const -> std::uint64_t { return value_; }

  // clang-tidy 14 takes the defaulted operator for a null pointer.
  constexpr auto operator<=>(const NumberId&) const = default;  // NOLINT

 private:
  std::uint64_t value_ = 0;
};

using VmId = StringId<struct VmTag>;
using FailureDomainId = StringId<struct FailureDomainTag>;
using RegionId = StringId<struct RegionTag>;
using ServiceId = StringId<struct ServiceTag>;
using TeamId = StringId<struct TeamTag>;
// The "ip:port" of the target.
using TargetId = StringId<struct TargetTag>;

// Distinguishes successive processes on the same VM; a later process has a
// higher incarnation.
using Incarnation = NumberId<struct IncarnationTag>;
// Version of the operators' table; 0 if no table is known.
using Revision = NumberId<struct RevisionTag>;
// Counts the returns of the published store from an older copy of its data. Its
// revisions are given out again after a return, so they are ordered within one
// era only; 0 for a store that names no era.
using StoreEra = NumberId<struct StoreEraTag>;
// A request accepted by this process; unique within the process.
using RequestId = NumberId<struct RequestTag>;
// A slot loan; unique within the lender's incarnation.
using LoanId = NumberId<struct LoanTag>;

}  // namespace flamingoyoke

template <typename Tag>
struct std::hash<flamingoyoke::StringId<Tag>> {
  auto operator()(const flamingoyoke::StringId<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::string>{}(id.value());
  }
};

template <typename Tag>
struct std::hash<flamingoyoke::NumberId<Tag>> {
  auto operator()(const flamingoyoke::NumberId<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::uint64_t>{}(id.value());
  }
};

#endif  // FLAMINGOYOKE_CORE_IDS_H_
