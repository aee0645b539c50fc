#include "wire/bounded_json.h"

#include <cmath>
#include <stdexcept>

namespace flamingoyoke {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxErrorBytes = 200;
// Doubles represent all whole numbers up to this one.
constexpr double kMaxExactWholeNumber = 9007199254740992.0;

[[noreturn]] auto ThrowOutOfRange(const Json& value, std::string_view name)
    -> void {
  // Only numbers are quoted: they are short.
  throw std::out_of_range(std::string(name) + " " +
                          (value.is_number() ? value.dump() : "") +
                          " is out of range");
}

}  // namespace

auto ParseBoundedJson(std::string_view text) -> Json {
  const auto check_depth = [](int depth, Json::parse_event_t /*event*/,
                              const Json& /*parsed*/) {
    if (depth > kMaxJsonDepth) {
      throw std::length_error("nested deeper than " +
                              std::to_string(kMaxJsonDepth) + " levels");
    }
    return true;
  };
  return Json::parse(text, check_depth);
}

auto ReadWholeNumber(const Json& value,
                     std::string_view name,
                     std::uint64_t min,
                     std::uint64_t max) -> std::uint64_t {
  std::uint64_t number = 0;
  if (value.is_number_unsigned()) {
    number = value.get<std::uint64_t>();
  } else if (const auto real =
                 value.is_number_float() ? value.get<double>() : -1;
             real >= 0 && real <= kMaxExactWholeNumber &&
             std::trunc(real) == real) {
    number = static_cast<std::uint64_t>(real);
  } else {
    ThrowOutOfRange(value, name);
  }
  if (number < min || number > max) {
    ThrowOutOfRange(value, name);
  }
  return number;
}

auto ReadMilliseconds(const Json& value, std::string_view name) -> Duration {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const auto number = value.is_number() ? value.get<double>() : -1;
  if (!(number >= 0 && number <= Milliseconds(kMaxJsonDuration).count())) {
    ThrowOutOfRange(value, name);
  }
  return std::chrono::duration_cast<Duration>(Milliseconds(number));
}

auto ReadName(const Json& value) -> std::string {
  const auto& name = value.get_ref<const std::string&>();
  if (name.size() > kMaxJsonNameBytes) {
    throw std::length_error("a name has " + std::to_string(name.size()) +
                            " bytes");
  }
  return name;
}

auto DescribeJsonError(const std::exception& error) -> std::string {
  return std::string(error.what()).substr(0, kMaxErrorBytes);
}

}  // namespace flamingoyoke
