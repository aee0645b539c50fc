#include "node/traffic/answer_scanner.h"

#include <criterion/criterion.h>

#include <string>

namespace flamingoyoke {

// Guards against short fields of an answer that take many times the memory that
// is counted for them, and against a count that interim responses add to.
Test(answer_scanner, counts_the_memory_of_fields) {
  constexpr std::size_t kFields = 1000;
  constexpr std::size_t kBytesPerField = 256;
  std::string fields;
  for (std::size_t i = 0; i < kFields; ++i) {
    fields += "a:\r\n";
  }
  AnswerScanner scanner;
  cr_assert(scanner.Consume("HTTP/1.1 100 Continue\r\n" + fields));
  cr_assert_geq(scanner.held_bytes(), kFields * kBytesPerField);
  cr_assert(scanner.Consume("\r\nHTTP/1.1 200 OK\r\n"));
  cr_assert_lt(scanner.held_bytes(), kFields);
  cr_assert(scanner.Consume(fields));
  cr_assert_geq(scanner.held_bytes(), kFields * kBytesPerField);
  cr_assert(scanner.Consume("Transfer-Encoding: chunked\r\n\r\n0\r\n"));
  cr_assert(scanner.Consume(fields));
  cr_assert_geq(scanner.held_bytes(), 2 * kFields * kBytesPerField);
}

// Guards against the start of a long line that is not counted.
Test(answer_scanner, counts_a_line_without_an_end) {
  constexpr std::size_t kBytes = 40'000;
  AnswerScanner scanner;
  cr_assert(scanner.Consume("HTTP/1.1 200 " + std::string(kBytes, 'x')));
  cr_assert_geq(scanner.held_bytes(), kBytes);
}

}  // namespace flamingoyoke
