#include "table/cell_reader.h"

#include <charconv>
#include <sstream>
#include <utility>

namespace flamingoyoke {
namespace {

constexpr std::string_view kSpaces = " \t";

auto ParseInteger(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

auto Trim(std::string_view text) -> std::string_view {
  const auto first = text.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpaces) - first + 1);
}

template <typename Range>
auto DescribeRange(std::string_view kind, const Range& range) -> std::string {
  std::ostringstream reason;
  reason << "must be a " << kind << " number from " << range.min << " to "
         << std::fixed;
  reason.precision(0);
  reason << range.max;
  return reason.str();
}

}  // namespace

auto ParseNonNegativeDecimal(std::string_view text) -> std::optional<double> {
  // std::from_chars also accepts "-1", "inf" and "nan".
  if (text.find_first_not_of("0123456789.") != std::string_view::npos) {
    return std::nullopt;
  }
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

CellReader::CellReader(const CsvRecord& record,
                       const Header& header,
                       FaultList& faults)
    : record_(record), header_(header), faults_(faults) {}

auto CellReader::Text(Column column) const -> std::string_view {
  const auto index = header_.IndexOf(column);
  if (!index || *index >= record_.cells.size()) {
    return {};
  }
  return record_.cells[*index];
}

auto CellReader::ReadInteger(Column column,
                             IntegerRange range,
                             std::uint64_t fallback) -> std::uint64_t {
  const auto text = Text(column);
  if (text.empty()) {
    return fallback;
  }
  const auto value = ParseInteger(text);
  if (!value || *value < range.min || *value > range.max) {
    AddFault(column, text, DescribeRange("whole", range));
    return fallback;
  }
  return *value;
}

auto CellReader::ReadDecimal(Column column, DecimalRange range, double fallback)
    -> double {
  const auto text = Text(column);
  if (text.empty()) {
    return fallback;
  }
  const auto value = ParseNonNegativeDecimal(text);
  if (!value || *value < range.min || *value > range.max) {
    AddFault(column, text, DescribeRange("decimal", range));
    return fallback;
  }
  return *value;
}

auto CellReader::ReadList(Column column) -> std::vector<std::string_view> {
  std::vector<std::string_view> items;
  auto rest = Text(column);
  if (Trim(rest).empty()) {
    return items;
  }
  while (true) {
    const auto end = rest.find(';');
    const auto item = Trim(rest.substr(0, end));
    if (item.empty()) {
      AddFault(column, Text(column),
               "the list has an empty item; remove a `;`");
    } else {
      items.push_back(item);
    }
    if (end == std::string_view::npos) {
      return items;
    }
    rest.remove_prefix(end + 1);
  }
}

auto CellReader::AddFault(Column column,
                          std::string_view value,
                          std::string reason) -> void {
  faults_.Add(record_.row, ToName(column), value, std::move(reason));
}

}  // namespace flamingoyoke
