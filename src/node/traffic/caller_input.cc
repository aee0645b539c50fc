#include "node/traffic/caller_input.h"

#include <algorithm>
#include <utility>

#include "node/traffic/http_text.h"

namespace flamingoyoke {
namespace {

// A larger buffer is given back once all its bytes were read.
constexpr std::size_t kKeptBytes = 1024;

}  // namespace

CallerInput::CallerInput(const RequestScanner::Limits& limits,
                         RequestScanner::HeadCheck check_head,
                         RequestScanner::ChunkCheck check_chunk)
    : scanner_(limits,
               std::move(check_head),
               std::move(check_chunk),
               {[this](std::string_view line) { OnHeadLine(line); },
                [this](std::string_view bytes) {
                  if (!body_) {
                    body_ = MakeEvbuffer();
                  }
                  evbuffer_add(body_.get(), bytes.data(), bytes.size());
                }}) {}

auto CallerInput::Append(evbuffer* input) -> void {
  received_.erase(0, std::exchange(read_, 0));
  const auto old_size = received_.size();
  received_.resize(old_size + evbuffer_get_length(input));
  const auto removed = evbuffer_remove(input, received_.data() + old_size,
                                       received_.size() - old_size);
  received_.resize(old_size + static_cast<std::size_t>(std::max(removed, 0)));
}

auto CallerInput::ReadRequest() -> bool {
  const auto before = scanner_.completed();
  auto rest = std::string_view(received_).substr(read_);
  scanner_.ConsumeRequest(rest);
  read_ = received_.size() - rest.size();
  if (rest.empty() && received_.capacity() > kKeptBytes) {
    received_ = {};
    read_ = 0;
  }
  return scanner_.completed() > before;
}

auto CallerInput::TakeHead() -> std::string {
  if (std::exchange(has_framing_, false)) {
    // Without a length, evhttp refuses some methods on a kept connection.
    head_ += "Content-Length: 0\r\n";
  }
  expects_continue_ = false;
  head_ += "\r\n";
  return std::exchange(head_, {});
}

auto CallerInput::TakeBody() -> EvbufferPtr {
  return body_ ? std::exchange(body_, nullptr) : MakeEvbuffer();
}

auto CallerInput::TakeContinue() -> bool {
  return scanner_.in_body() && std::exchange(expects_continue_, false);
}

auto CallerInput::Drop() -> void {
  received_ = {};
  read_ = 0;
  head_ = {};
  body_.reset();
}

auto CallerInput::held_bytes() const -> std::size_t {
  return received_.capacity() + head_.capacity() + scanner_.held_bytes();
}

auto CallerInput::OnHeadLine(std::string_view line) -> void {
  const auto name = line.substr(0, line.find(':'));
  if (EqualsIgnoringCase(name, "Content-Length") ||
      EqualsIgnoringCase(name, "Transfer-Encoding")) {
    has_framing_ = true;
    return;
  }
  if (EqualsIgnoringCase(name, "Expect")) {
    expects_continue_ = EqualsIgnoringCase(
        TrimSpace(line.substr(name.size() + 1)), "100-continue");
    return;
  }
  head_.append(line);
  head_ += "\r\n";
}

}  // namespace flamingoyoke
