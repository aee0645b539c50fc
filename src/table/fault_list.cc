#include "table/fault_list.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {
namespace {

constexpr char kFirstPrintable = ' ';
constexpr char kLastPrintable = '~';

// Truncates `value` and replaces control characters and non-ASCII bytes, as
// faults are printed to terminals and in reports.
auto ToPrintableAscii(std::string_view value) -> std::string {
  const bool is_cut = value.size() > FaultList::kMaxValueLength;
  std::string text(value.substr(0, FaultList::kMaxValueLength));
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return c < kFirstPrintable || c > kLastPrintable; }, '?');
  return is_cut ? text + "..." : text;
}

}  // namespace

auto FaultList::Add(std::size_t row,
                    std::string_view column,
                    std::string_view value,
                    std::string reason) -> void {
  if (faults_.size() > kMaxFaults) {
    return;
  }
  if (faults_.size() == kMaxFaults) {
    faults_.push_back({0, "", "", "there are more faults; they are not shown"});
    return;
  }
  faults_.push_back({row, ToPrintableAscii(column), ToPrintableAscii(value),
                     std::move(reason)});
}

auto FaultList::Take() -> TableFaults {
  return std::exchange(faults_, {});
}

}  // namespace flamingoyoke
