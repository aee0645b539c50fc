#include "node/traffic/caller_headers.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>

#include "node/traffic/trace_context.h"

namespace flamingoyoke {
namespace {

auto Read(const HttpHeaders& headers) -> std::optional<CallerHeaders> {
  std::optional<CallerHeaders> read;
  (void)CaptureInto(read, [&] { return ReadCallerHeaders(headers); });
  return read;
}

Test(caller_headers, valid_headers_are_read) {
  const auto read = Read({{"flamingoyoke-deadline-ms", " 250 "},
                          {"Flamingoyoke-Team", "t"},
                          {"Flamingoyoke-Key", "a-1-2-0000000000000003"}});
  cr_assert(read.has_value());
  cr_assert(read->deadline == std::chrono::milliseconds(250));
  cr_assert_eq(read->team, TeamId("t"));
  cr_assert_eq(read->key->vm, VmId("a"));
  cr_assert_not(read->trace);
}

// State is stored per team name, so an unlimited length would waste memory.
Test(caller_headers, long_team_is_refused) {
  cr_assert(Read({{"Flamingoyoke-Team", std::string(128, 'x')}}));
  cr_assert_not(Read({{"Flamingoyoke-Team", std::string(129, 'x')}}));
}

// A malformed traceparent must start a new trace and not fail the request.
Test(caller_headers, traceparent) {
  const std::string good =
      "00-0123456789abcdef0123456789abcdef-"
      "0123456789abcdef-01";
  cr_assert(ParseTraceparent(good).has_value());
  cr_assert_eq(FormatTraceparent(*ParseTraceparent(good)), good);
  cr_assert_not(ParseTraceparent(good.substr(1)));
  cr_assert_not(ParseTraceparent("01" + good.substr(2)));
  for (const std::size_t position : {5U, 40U, 53U, 35U, 52U}) {
    auto bad = good;
    bad[position] = 'G';
    cr_assert_not(ParseTraceparent(bad), "%s", bad.c_str());
  }
  cr_assert_not(
      ParseTraceparent("00-" + std::string(32, '0') + "-0123456789abcdef-01"));
}

// An upstream must not be able to set the reserved outcome header.
Test(caller_headers, relayed_head_has_only_own_outcome) {
  const auto relayed = MakeRelayedHead({200,
                                        "OK",
                                        {{"Flamingoyoke-Outcome", "not-run"},
                                         {"Flamingoyoke-Load", "0.5"},
                                         {"Connection", "X-Hop"},
                                         {"X-Hop", "1"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"Content-Type", "a/b"}}});
  cr_assert_eq(relayed.headers.size(), 2U);
  cr_assert(FindHeader(relayed.headers, "Content-Type") == "a/b");
  cr_assert(FindHeader(relayed.headers, "Flamingoyoke-Outcome") == "run");
}

}  // namespace
}  // namespace flamingoyoke
