#ifndef FLAMINGOYOKE_TESTS_FUZZ_ANSWER_READING_H_
#define FLAMINGOYOKE_TESTS_FUZZ_ANSWER_READING_H_

#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "node/traffic/answer_memory.h"
#include "node/traffic/http_text.h"
#include "node/traffic/upstream_connection.h"
#include "runtime/event_loop.h"
#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {

// What a target sends for one request, and how it ends the connection.
struct AnswerScript {
  enum class End { kClose, kReset, kOpen };

  std::string method = "GET";
  // Whether the end of the connection may end a body.
  bool accepts_close_delimited = false;
  // Whether the request has a long body, which the target doesn't read.
  bool has_upload = false;
  End end = End::kClose;
  // How often the pieces are sent.
  std::size_t repeats = 1;
  // A status, "none" for no complete answer, "refused" if the connection must
  // end the attempt by itself, or empty if only the invariant is checked.
  std::string expected;
  std::vector<std::string> pieces;
};

// Parses a file of the corpus. Its first line has the words of AnswerScript,
// such as "GET delimited upload reset -> none"; unknown words are ignored. The
// bytes of the target follow, split by 0xFF.
inline auto ParseAnswerScript(std::string_view text) -> AnswerScript {
  constexpr std::size_t kMaxBytes = 1 << 20;
  constexpr std::string_view kRepeat = "repeat=";
  AnswerScript script;
  auto line = text.substr(0, text.find('\n'));
  text.remove_prefix(std::min(text.size(), line.size() + 1));
  bool is_expected = false;
  while (!line.empty()) {
    const auto word = line.substr(0, line.find(' '));
    line.remove_prefix(std::min(line.size(), word.size() + 1));
    if (is_expected) {
      script.expected = word;
    } else if (word == "HEAD" || word == "POST") {
      script.method = word;
    } else if (word.substr(0, kRepeat.size()) == kRepeat) {
      script.repeats = static_cast<std::size_t>(
          ParseDecimal(word.substr(kRepeat.size())).value_or(1));
    }
    script.accepts_close_delimited |= word == "delimited";
    script.has_upload |= word == "upload";
    script.end = word == "reset"  ? AnswerScript::End::kReset
                 : word == "open" ? AnswerScript::End::kOpen
                                  : script.end;
    is_expected |= word == "->";
  }
  script.repeats = std::clamp<std::size_t>(
      script.repeats, 1, 1 + kMaxBytes / std::max<std::size_t>(text.size(), 1));
  script.pieces.emplace_back();
  for (const char next : text) {
    if (next == '\xff') {
      script.pieces.emplace_back();
    } else {
      script.pieces.back() += next;
    }
  }
  return script;
}

// A complete answer, or the part of one that was passed on.
struct ReadAnswer {
  int status = 0;
  std::string body;
  // Bytes after the answer.
  std::size_t stray_bytes = 0;
};

// Finds the answer in the bytes of a target by the rules of RFC 9112. Works on
// the whole bytes at once and shares no parser with the product. Anything that
// the rules don't allow is no answer, except that a line may end with LF and a
// field that doesn't frame the answer may be folded.
class AnswerModel {
 public:
  // Returns nothing if there is no complete answer.
  static auto Find(const AnswerScript& script) -> std::optional<ReadAnswer> {
    std::string bytes;
    for (std::size_t i = 0; i < script.repeats; ++i) {
      for (const auto& piece : script.pieces) {
        bytes += piece;
      }
    }
    return AnswerModel(bytes).Read(script);
  }

 private:
  explicit AnswerModel(std::string_view bytes) : rest_(bytes) {}

  static auto IsDigit(char c) -> bool { return c >= '0' && c <= '9'; }

  // Takes a line without its end. Returns nothing if it has no end or contains
  // a byte that no line may have.
  auto TakeLine() -> std::optional<std::string_view> {
    const auto end = rest_.find('\n');
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    auto line = rest_.substr(0, end);
    rest_.remove_prefix(end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.find('\r') != std::string_view::npos ||
        line.find('\0') != std::string_view::npos) {
      return std::nullopt;
    }
    return line;
  }

  // Returns the status, or 0.
  static auto ParseStatus(std::string_view line) -> int {
    constexpr std::size_t kBytes = 12;
    const auto is_valid = line.size() >= kBytes &&
                          line.substr(0, 7) == "HTTP/1." && IsDigit(line[7]) &&
                          line[8] == ' ' && line[9] >= '1' && line[9] <= '5' &&
                          IsDigit(line[10]) && IsDigit(line[11]) &&
                          (line.size() == kBytes || line[kBytes] == ' ');
    return is_valid ? std::atoi(std::string(line.substr(9, 3)).c_str()) : 0;
  }

  // Takes fields up to an empty line. Returns whether they are valid.
  auto TakeFields(std::vector<std::pair<std::string, std::string>>& fields)
      -> bool {
    while (true) {
      const auto line = TakeLine();
      if (!line) {
        return false;
      }
      if (line->empty()) {
        return true;
      }
      if (line->front() == ' ' || line->front() == '\t') {
        if (fields.empty() || fields.back().first == "content-length" ||
            fields.back().first == "transfer-encoding") {
          return false;
        }
        continue;
      }
      const auto colon = line->find(':');
      if (colon == std::string_view::npos || colon == 0 ||
          line->substr(0, colon).find_first_of(" \t") !=
              std::string_view::npos) {
        return false;
      }
      fields.emplace_back(ToLower(line->substr(0, colon)),
                          TrimSpace(line->substr(colon + 1)));
    }
  }

  auto TakeBytes(std::uint64_t size, std::string& body) -> bool {
    if (size > rest_.size()) {
      return false;
    }
    body += rest_.substr(0, size);
    rest_.remove_prefix(size);
    return true;
  }

  auto TakeChunks(std::string& body) -> bool {
    constexpr std::size_t kMaxDigits = 15;
    while (true) {
      const auto line = TakeLine();
      const auto digits = line ? line->substr(0, line->find_first_of(" \t;"))
                               : std::string_view();
      if (digits.empty() || digits.size() > kMaxDigits ||
          digits.find_first_not_of("0123456789abcdefABCDEF") !=
              std::string_view::npos) {
        return false;
      }
      const auto size = std::stoull(std::string(digits), nullptr, 16);
      if (size == 0) {
        std::vector<std::pair<std::string, std::string>> trailers;
        return TakeFields(trailers);
      }
      if (!TakeBytes(size, body)) {
        return false;
      }
      const auto end = TakeLine();
      if (!end || !end->empty()) {
        return false;
      }
    }
  }

  auto Read(const AnswerScript& script) -> std::optional<ReadAnswer> {
    ReadAnswer answer;
    std::vector<std::pair<std::string, std::string>> fields;
    do {
      const auto line = TakeLine();
      answer.status = line ? ParseStatus(*line) : 0;
      fields.clear();
      // Only 100 is expected without a request for it.
      if ((answer.status != 100 && answer.status < 200) ||
          !TakeFields(fields)) {
        return std::nullopt;
      }
    } while (answer.status == 100);
    std::vector<std::string> lengths;
    std::vector<std::string> codings;
    for (const auto& [name, value] : fields) {
      if (name == "content-length") {
        lengths.push_back(value);
      }
      if (name == "transfer-encoding") {
        codings.push_back(ToLower(value));
      }
    }
    const bool has_body =
        script.method != "HEAD" && answer.status != 204 && answer.status != 304;
    if (has_body && !TakeBody(script, lengths, codings, answer.body)) {
      return std::nullopt;
    }
    answer.stray_bytes = rest_.size();
    return answer;
  }

  auto TakeBody(const AnswerScript& script,
                const std::vector<std::string>& lengths,
                const std::vector<std::string>& codings,
                std::string& body) -> bool {
    if (lengths.size() + codings.size() > 1) {
      return false;
    }
    if (!codings.empty()) {
      return codings.front() == "chunked" && TakeChunks(body);
    }
    if (!lengths.empty()) {
      const auto& text = lengths.front();
      return !text.empty() && std::all_of(text.begin(), text.end(), IsDigit) &&
             text.size() < 19 && TakeBytes(std::stoull(text), body);
    }
    return script.accepts_close_delimited &&
           script.end == AnswerScript::End::kClose &&
           TakeBytes(rest_.size(), body);
  }

  std::string_view rest_;
};

// Plays scripts to connections of the product, over loopback sockets. A caller
// must get the answer that AnswerModel finds, or none that looks complete.
class AnswerCheck {
 public:
  AnswerCheck() {
    // Small, so that a part of each upload is not yet written.
    constexpr int kReceiveBuffer = 16 << 10;
    setsockopt(listener_.descriptor(), SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
               sizeof(kReceiveBuffer));
    upload_.reset(evbuffer_new());
    const std::string body(kUploadBytes, 'u');
    evbuffer_add(upload_.get(), body.data(), body.size());
  }

  // Returns a description of the fault, or nothing if there is none.
  auto Run(const AnswerScript& script) -> std::optional<std::string> {
    const auto expected = AnswerModel::Find(script);
    UpstreamConnection connection(
        loop_, "127.0.0.1", listener_.port(),
        script.accepts_close_delimited ? delimited_ : native_, memory_);
    Exchange first;
    Send(connection, script.method, script.has_upload, first);
    Poll();
    auto target = listener_.Accept();
    constexpr int kOn = 1;
    setsockopt(target.descriptor(), IPPROTO_TCP, TCP_NODELAY, &kOn,
               sizeof(kOn));
    SendScript(script, first, target);
    auto fault = CheckFirst(script, expected, connection, first);
    if (!fault && target.valid() && connection.usable()) {
      Exchange second;
      Send(connection, "GET", false, second);
      Poll();
      constexpr std::string_view kSecond =
          "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
      WriteAll(target, kSecond, second);
      Poll();
      if (second.is_complete() &&
          (second.answer.status != 200 || second.answer.body != "second")) {
        fault = "the next request got " + Describe(second.answer);
      }
    }
    connection.Abandon();
    // Avoids a socket in TIME_WAIT for each script.
    target.Reset();
    Poll();
    return fault;
  }

 private:
  static constexpr std::size_t kUploadBytes = 4 << 20;
  // The limits of UpstreamConnection on input that is not passed on, and what
  // is read at once.
  static constexpr std::size_t kMaxHeldBytes = 3 << 20;

  struct Exchange {
    std::optional<AttemptResult> result;
    ReadAnswer answer;

    [[nodiscard]] auto is_complete() const -> bool {
      return result == AttemptResult::kAnswered ||
             result == AttemptResult::kServerError;
    }
  };

  static auto Describe(const ReadAnswer& answer) -> std::string {
    return std::to_string(answer.status) + " with " +
           std::to_string(answer.body.size()) +
           " bytes: " + answer.body.substr(0, 80);
  }

  auto Send(UpstreamConnection& connection,
            const std::string& method,
            bool has_upload,
            Exchange& exchange) -> void {
    constexpr auto kLimit = std::chrono::seconds(20);
    RequestHead head{has_upload ? "POST" : method, "/a", {{"Host", "h"}}};
    if (has_upload || method == "POST") {
      head.headers.emplace_back("Content-Length",
                                std::to_string(has_upload ? kUploadBytes : 0));
    }
    connection.Send(
        head, has_upload ? upload_.get() : nullptr,
        {kLimit, kLimit, kLimit, kLimit},
        {.on_head =
             [&](const ResponseHead& answer) {
               exchange.answer.status = answer.status;
             },
         .on_body =
             [&](evbuffer* data) {
               std::string part(evbuffer_get_length(data), '\0');
               evbuffer_remove(data, part.data(), part.size());
               exchange.answer.body += part;
             },
         .on_end = [&](AttemptResult result,
                       const UpstreamSignals&) { exchange.result = result; }});
  }

  auto Poll() -> void {
    constexpr int kIterations = 6;
    for (int i = 0; i < kIterations; ++i) {
      event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
    }
  }

  // Writes while the connection reads. Stops early once it no longer does.
  auto WriteAll(TestSocket& target, std::string_view bytes, Exchange& exchange)
      -> void {
    constexpr int kMaxTries = 1000;
    for (int i = 0; i < kMaxTries && !bytes.empty(); ++i) {
      const auto sent = send(target.descriptor(), bytes.data(), bytes.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN) {
        return;
      }
      bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
      if (!bytes.empty()) {
        Poll();
        if (exchange.result) {
          return;
        }
      }
    }
  }

  auto SendScript(const AnswerScript& script,
                  Exchange& exchange,
                  TestSocket& target) -> void {
    if (!script.has_upload) {
      // With unread input, a close would be a reset.
      std::array<char, 4096> request{};
      Poll();
      (void)recv(target.descriptor(), request.data(), request.size(),
                 MSG_DONTWAIT);
    }
    for (std::size_t i = 0; i < script.repeats && !exchange.result; ++i) {
      for (std::size_t j = 0; j < script.pieces.size(); ++j) {
        WriteAll(target, script.pieces[j], exchange);
        // The last bytes and the end of the connection arrive together.
        if (j + 1 < script.pieces.size()) {
          Poll();
        }
      }
    }
    if (script.end == AnswerScript::End::kClose) {
      shutdown(target.descriptor(), SHUT_WR);
    } else if (script.end == AnswerScript::End::kReset) {
      target.Reset();
    }
    constexpr int kMaxPolls = 20;
    for (int i = 0; i < kMaxPolls; ++i) {
      Poll();
      if (exchange.result) {
        break;
      }
    }
    Poll();
  }

  auto CheckFirst(const AnswerScript& script,
                  const std::optional<ReadAnswer>& expected,
                  const UpstreamConnection& connection,
                  const Exchange& first) const -> std::optional<std::string> {
    if (memory_.used() > kMaxHeldBytes) {
      return "holds " + std::to_string(memory_.used()) + " bytes";
    }
    if (first.is_complete() &&
        (!expected || expected->status != first.answer.status ||
         expected->body != first.answer.body)) {
      return "the caller got " + Describe(first.answer) + ", not " +
             (expected ? Describe(*expected) : "a failure");
    }
    if (connection.usable() &&
        (!first.is_complete() || expected->stray_bytes > 0)) {
      return "the connection is still used";
    }
    if (script.expected.empty()) {
      return std::nullopt;
    }
    const auto got = first.is_complete()
                         ? std::to_string(first.answer.status)
                         : std::string(first.result ? "refused" : "none");
    if (got != script.expected &&
        (script.expected != "none" || first.is_complete())) {
      return "the result is " + got + ", not " + script.expected;
    }
    return std::nullopt;
  }

  struct BufferDeleter {
    auto operator()(evbuffer* buffer) const -> void { evbuffer_free(buffer); }
  };

  EventLoop loop_;
  TestListener listener_;
  AnswerMemory memory_{64 << 20};
  const UpstreamInterface native_ = NativeUpstreamInterface();
  const UpstreamInterface delimited_{
      .read_signals = NativeUpstreamInterface().read_signals,
      .accepts_close_delimited = true};
  std::unique_ptr<evbuffer, BufferDeleter> upload_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_FUZZ_ANSWER_READING_H_
