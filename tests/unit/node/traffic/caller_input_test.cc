#include "node/traffic/caller_input.h"

#include <criterion/criterion.h>

#include <string>

namespace flamingoyoke {
namespace {

auto MakeInput() -> CallerInput {
  return CallerInput(
      {}, [](const ScannedHead&) { return BodyAllowance{1 << 20}; }, {});
}

// Passes `bytes` in as one read.
auto Feed(CallerInput& input, const std::string& bytes) -> bool {
  const auto buffer = MakeEvbuffer();
  evbuffer_add(buffer.get(), bytes.data(), bytes.size());
  input.Append(buffer.get());
  return input.ReadRequest();
}

auto ToString(const EvbufferPtr& buffer) -> std::string {
  std::string text(evbuffer_get_length(buffer.get()), '\0');
  evbuffer_copyout(buffer.get(), text.data(), text.size());
  return text;
}

// Guards against a head that makes evhttp wait for the body again.
Test(caller_input, the_head_says_that_there_is_no_body) {
  auto input = MakeInput();
  cr_assert(Feed(input,
                 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                 "A: b\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"));
  cr_assert_eq(input.TakeHead(),
               std::string("POST / HTTP/1.1\r\nHost: h\r\nA: b\r\n"
                           "Content-Length: 0\r\n\r\n"));
  cr_assert_eq(ToString(input.TakeBody()), std::string("abc"));
  cr_assert_not(input.receiving());
}

// Guards against requests that are mixed up when they arrive together.
Test(caller_input, requests_are_read_one_at_a_time) {
  auto input = MakeInput();
  cr_assert(Feed(input,
                 "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
                 "GET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3"));
  cr_assert_eq(ToString(input.TakeBody()), std::string("ab"));
  input.TakeHead();
  cr_assert(input.receiving());
  cr_assert(input.ReadRequest());
  cr_assert_eq(input.TakeHead(),
               std::string("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
  cr_assert_eq(ToString(input.TakeBody()), std::string());
  cr_assert_not(input.ReadRequest());
  cr_assert(input.receiving());
}

// Guards against callers that wait for ever with `Expect: 100-continue`.
Test(caller_input, a_caller_that_waits_is_told_once_to_continue) {
  auto input = MakeInput();
  const std::string head =
      "PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\n"
      "Content-Length: 2\r\n";
  cr_assert_not(Feed(input, head));
  cr_assert_not(input.TakeContinue());
  cr_assert_not(Feed(input, "\r\n"));
  cr_assert(input.TakeContinue());
  cr_assert_not(input.TakeContinue());
  cr_assert(Feed(input, "ab"));
}

}  // namespace
}  // namespace flamingoyoke
