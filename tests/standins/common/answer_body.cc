#include "standins/common/answer_body.h"

#include <xxhash.h>

#include <iomanip>
#include <sstream>

#include "core/random.h"

namespace flamingoyoke::standin {
namespace {

constexpr int kHexDigits = 16;
constexpr std::uint64_t kLetterCount = 26;

}  // namespace

auto Checksum(std::string_view bytes) -> std::string {
  std::ostringstream text;
  text << std::hex << std::setw(kHexDigits) << std::setfill('0')
       << XXH64(bytes.data(), bytes.size(), 0);
  return text.str();
}

auto MakeAnswerBody(const std::string& id,
                    std::string_view received,
                    std::size_t size) -> std::string {
  auto body = "id=" + id + " received=" + std::to_string(received.size()) +
              " checksum=" + Checksum(received) + "\n";
  Random random(XXH64(id.data(), id.size(), 0));
  body.reserve(body.size() + size);
  for (std::size_t index = 0; index < size; ++index) {
    body.push_back(static_cast<char>('a' + random.Below(kLetterCount)));
  }
  return body;
}

}  // namespace flamingoyoke::standin
