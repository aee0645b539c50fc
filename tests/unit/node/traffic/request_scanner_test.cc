#include "node/traffic/request_scanner.h"

#include <criterion/criterion.h>

#include <cstddef>
#include <string>

namespace flamingoyoke {
namespace {

constexpr std::uint64_t kAllowance = 100;

auto MakeScanner() -> RequestScanner {
  return RequestScanner({.head_bytes = 300}, [](const ScannedHead&) {
    return BodyAllowance{kAllowance};
  });
}

// Scans the text at once and byte by byte. The result must not depend on how
// the network splits the input.
auto Scan(const std::string& text) -> std::optional<ErrorKind> {
  auto whole = MakeScanner();
  auto split = MakeScanner();
  const auto result = whole.Consume(text);
  for (const char c : text) {
    split.Consume(std::string_view(&c, 1));
  }
  cr_assert(split.violation() == result, "splitting changes the result");
  cr_assert_eq(split.completed(), whole.completed());
  return result;
}

auto WithHeader(const std::string& headers, const std::string& body = "")
    -> std::string {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

Test(request_scanner, valid_requests_are_counted) {
  auto scanner = MakeScanner();
  cr_assert_not(scanner.Consume(WithHeader("Content-Length: 5\r\n", "hello")));
  cr_assert_not(scanner.Consume("GET /b?c=d HTTP/1.1\r\nhost:h\r\n\r\n"));
  cr_assert_not(scanner.Consume(WithHeader("Transfer-Encoding: Chunked\r\n",
                                           "3\r\nabc\r\nA\r\n0123456789\r\n")));
  cr_assert_eq(scanner.completed(), 2U);
  cr_assert(scanner.in_request());
  cr_assert_not(scanner.Consume("0\r\n\r\n"));
  cr_assert_eq(scanner.completed(), 3U);
  cr_assert_not(scanner.in_request());
}

// Parsers interpret these requests differently, so that one of them could read
// a second request inside the first (request smuggling).
Test(request_scanner, ambiguous_requests_are_malformed) {
  for (const auto& text : {
           WithHeader("Content-Length: +5\r\n", "hello"),
           WithHeader("Content-Length: -5\r\n"),
           WithHeader("Content-Length: 5, 5\r\n", "hello"),
           WithHeader("Content-Length: 0x5\r\n", "hello"),
           WithHeader("Content-Length:\r\n"),
           WithHeader("Content-Length : 5\r\n", "hello"),
           WithHeader("Content-Length: 9999999999999999999999\r\n"),
           WithHeader("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
           WithHeader("Transfer-Encoding: chunked, gzip\r\n"),
           WithHeader("Transfer-Encoding: identity\r\n"),
           WithHeader("A: b\r\n folded\r\n"),
           WithHeader("A: b\r\n\tfolded\r\n"),
           WithHeader("A: b\nContent-Length: 5\r\n"),
           WithHeader("A: b\rContent-Length: 5\r\n"),
           WithHeader(std::string("A: b\0c\r\n", 8)),
           WithHeader("no colon\r\n"),
           WithHeader(": empty name\r\n"),
           std::string("GET / HTTP/1.1\nHost: h\n\n"),
           std::string("GET / HTTP/1.1\r\n\r\n"),
           std::string("GET / HTTP/1.0\r\nHost: h\r\n\r\n"),
           std::string("GET  / HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("GET / x HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("get / HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"),
       }) {
    cr_assert(Scan(text) == ErrorKind::kMalformedRequest, "accepted: %s",
              text.c_str());
  }
}

// Guards against requests that are smuggled in the body of a HEAD request:
// evhttp does not read that body and parses it as the next request.
Test(request_scanner, rejects_a_body_that_evhttp_does_not_read) {
  for (const auto* framing :
       {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
    const std::string head =
        std::string("HEAD /a HTTP/1.1\r\nHost: h\r\n") + framing + "\r\n";
    cr_assert(Scan(head) == ErrorKind::kUnexpectedBody);
  }
  cr_assert_not(
      Scan("HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
}

// Guards against requests that get no answer: evhttp reads two leading slashes
// as the start of an authority and drops the request if that is invalid.
Test(request_scanner, rejects_a_target_that_evhttp_does_not_read) {
  for (const auto* target : {"//:x", "//h:99999/a", "//[/a"}) {
    cr_assert(
        Scan(std::string("GET ") + target + " HTTP/1.1\r\nHost: h\r\n\r\n") ==
            ErrorKind::kMalformedRequest,
        "accepted: %s", target);
  }
  for (const auto* target : {"//h/a", "//x", "/a//:x", "/"}) {
    cr_assert_not(
        Scan(std::string("GET ") + target + " HTTP/1.1\r\nHost: h\r\n\r\n"),
        "refused: %s", target);
  }
}

// Repeated or contradicting framing headers must be refused, even with equal
// values.
Test(request_scanner, conflicting_framing) {
  for (const auto& text : {
           WithHeader("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"),
           WithHeader("Content-Length: 5\r\ncontent-length: 5\r\n", "hello"),
           WithHeader("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
           WithHeader("Transfer-Encoding: chunked\r\n"
                      "Transfer-Encoding: chunked\r\n"),
           WithHeader("Host: other\r\n"),
           WithHeader("Flamingoyoke-Key: a\r\nFlamingoyoke-Key: b\r\n"),
       }) {
    cr_assert(Scan(text) == ErrorKind::kConflictingHeaders, "accepted: %s",
              text.c_str());
  }
}

// Parsers interpret chunk sizes with signs, prefixes or extensions differently,
// and trailers would override validated headers.
Test(request_scanner, chunk_framing_is_strict) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (const auto* body :
       {"+3\r\nabc\r\n", "0x3\r\nabc\r\n", "3;a=b\r\nabc\r\n", " 3\r\nabc\r\n",
        "3 \r\nabc\r\n", "3\nabc\r\n", "\r\nabc\r\n", "3\r\nabcd\r\n", "g\r\n",
        "0\r\nFlamingoyoke-Key: a\r\n\r\n",
        "00000000000000000000000003\r\nabc\r\n"}) {
    cr_assert(Scan(WithHeader(chunked, body)) == ErrorKind::kMalformedRequest,
              "accepted: %s", body);
  }
}

// Requests above the size limits must be refused before the data is buffered.
Test(request_scanner, sizes_are_bounded) {
  cr_assert(Scan(WithHeader("Content-Length: 101\r\n")) ==
            ErrorKind::kRequestTooLarge);
  cr_assert(Scan(WithHeader("Transfer-Encoding: chunked\r\n", "65\r\n")) ==
            ErrorKind::kRequestTooLarge);
  cr_assert(Scan(WithHeader("A: " + std::string(300, 'x') + "\r\n")) ==
            ErrorKind::kRequestTooLarge);
}

// Guards against requests inside the limit of their head that are refused for
// the number of their fields, and against fields without a bound.
Test(request_scanner, fields_are_limited_by_their_bytes) {
  std::string fields;
  for (int i = 0; i < 60; ++i) {
    fields += "a:\r\n";
  }
  cr_assert_not(Scan(WithHeader(fields)));
  cr_assert(Scan(WithHeader(fields + fields)) == ErrorKind::kRequestTooLarge);
}

// The head check can refuse a request, for example when the body budget is
// exhausted.
Test(request_scanner, head_check_refuses) {
  RequestScanner scanner({}, [](const ScannedHead& head) {
    cr_assert_eq(head.method, std::string("POST"));
    cr_assert_eq(head.target, std::string("/a"));
    return ErrorKind::kBodyBudgetExhausted;
  });
  cr_assert(scanner.Consume(WithHeader("Content-Length: 5\r\n")) ==
            ErrorKind::kBodyBudgetExhausted);
  cr_assert(scanner.Consume("GET / HTTP/1.1\r\n") ==
            ErrorKind::kBodyBudgetExhausted);
}

}  // namespace
}  // namespace flamingoyoke
