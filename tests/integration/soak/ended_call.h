#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_ENDED_CALL_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_ENDED_CALL_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>

#include "core/name_table.h"
#include "core/time.h"
#include "runtime/mailbox.h"

namespace flamingoyoke::integration {

struct Interval {
  TimePoint start;
  TimePoint end;

  [[nodiscard]] auto Overlaps(const Interval& other) const -> bool {
    return start < other.end && other.start < end;
  }
};

// How a call ended for its caller.
enum class CallEnd {
  kAnswered,
  kClosed,      // The connection ended without a complete answer.
  kNotSent,     // The connection ended before the whole request was sent.
  kNotRead,     // An answer before it announced the end of the connection.
  kGivenUp,     // The caller waited until its deadline.
  kReset,       // The caller reset its connection.
  kUnexpected,  // An answer came without a request that waits for it.
};

}  // namespace flamingoyoke::integration

namespace flamingoyoke {

template <>
struct EnumNames<integration::CallEnd> {
  static constexpr auto kTable =
      std::to_array<NameEntry<integration::CallEnd>>({
          {integration::CallEnd::kAnswered, "answered"},
          {integration::CallEnd::kClosed, "closed"},
          {integration::CallEnd::kNotSent, "not-sent"},
          {integration::CallEnd::kNotRead, "not-read"},
          {integration::CallEnd::kGivenUp, "given-up"},
          {integration::CallEnd::kReset, "reset"},
          {integration::CallEnd::kUnexpected, "unexpected"},
      });
};
static_assert(IsDense<integration::CallEnd>());

}  // namespace flamingoyoke

namespace flamingoyoke::integration {

// A call that ended.
struct EndedCall {
  std::string id;
  std::size_t gateway = 0;
  // Index of the route in the settings.
  std::size_t route = 0;
  // Index of the caller's team in the settings, and the key that it sent.
  std::size_t team = 0;
  std::string key;
  // From the last byte of the request until the end.
  Interval time;
  // Whether the connection had carried an answer before.
  bool is_kept = false;
  // Whether it was sent behind another request on its connection.
  bool is_behind = false;
  CallEnd end = CallEnd::kAnswered;
  int status = 0;
  // Whether the answer says that the limit of the team is reached.
  bool is_over_limit = false;
  // Whether the answer bears the signature of a target.
  bool is_signed = false;
  // Whether a successful answer is the complete one to this call.
  bool is_right = false;
};
using CallMessage = std::variant<EndedCall>;

}  // namespace flamingoyoke::integration

namespace flamingoyoke {

template <>
inline constexpr MailboxPolicy kMailboxPolicy<integration::EndedCall> =
    MailboxPolicy::kBackPressure;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_ENDED_CALL_H_
