#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "fuzz/answer_reading.h"

namespace flamingoyoke {
namespace {

TestSuite(answer_reading, .timeout = 120);

}  // namespace

// Guards against answers that are cut, that are none or that belong to another
// request, and reach the caller as complete: each file of the corpus names such
// an answer and what the caller must get.
Test(answer_reading, corpus_is_read_as_each_file_states) {
  AnswerCheck check;
  std::size_t files = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(FLAMINGOYOKE_ANSWER_CORPUS)) {
    std::ifstream stream(file.path(), std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    const auto script = ParseAnswerScript(text);
    cr_expect_not(script.expected.empty(), "%s states no result",
                  file.path().c_str());
    const auto fault = check.Run(script);
    cr_expect_not(fault.has_value(), "%s: %s", file.path().filename().c_str(),
                  fault.value_or("").c_str());
    ++files;
  }
  cr_assert_gt(files, 0U);
}

}  // namespace flamingoyoke
