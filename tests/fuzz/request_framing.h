#ifndef FLAMINGOYOKE_TESTS_FUZZ_REQUEST_FRAMING_H_
#define FLAMINGOYOKE_TESTS_FUZZ_REQUEST_FRAMING_H_

#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "node/traffic/caller_server.h"
#include "runtime/event_loop.h"
#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {

// One request as one of the two parsers understands it.
struct FramedRequest {
  std::string method;
  std::string target;
  std::uint64_t body_bytes = 0;

  auto operator==(const FramedRequest&) const -> bool = default;
};

inline constexpr RequestScanner::Limits kFramingLimits = {.head_bytes = 2048};
inline constexpr std::uint64_t kFramingAllowance = 32 << 10;

// The requests that the scanner finds in a byte stream.
struct ScannedStream {
  std::vector<FramedRequest> complete;
  bool is_valid = true;
};

inline auto ScanStream(std::string_view stream) -> ScannedStream {
  std::vector<FramedRequest> heads;
  RequestScanner scanner(
      kFramingLimits,
      [&](const ScannedHead& head) -> std::variant<BodyAllowance, ErrorKind> {
        heads.push_back(
            {head.method, head.target, head.content_length.value_or(0)});
        return BodyAllowance{kFramingAllowance};
      },
      [&](std::uint64_t bytes) -> std::optional<ErrorKind> {
        heads.back().body_bytes += bytes;
        return std::nullopt;
      });
  const bool is_valid = !scanner.Consume(stream).has_value();
  heads.resize(std::min<std::size_t>(heads.size(), scanner.completed()));
  return {std::move(heads), is_valid};
}

// Sends byte streams to a server and compares the requests that evhttp delivers
// with those that the scanner finds. A difference means that a request can be
// hidden in another one.
class FramingCheck {
 public:
  FramingCheck()
      : server_(loop_,
                MakeLimits(),
                CallerServer::Handler{
                    [](const ScannedHead&)
                        -> std::variant<BodyAllowance, ErrorKind> {
                      return BodyAllowance{kFramingAllowance};
                    },
                    [this](std::unique_ptr<CallerExchange> exchange) {
                      OnRequest(*exchange);
                    },
                    [] {}}) {
    has_port_ = static_cast<bool>(server_.Listen("127.0.0.1", 0));
  }

  // Sends the pieces on a new connection. Returns a description of the
  // difference, or nothing if both parsers agree.
  auto Run(const std::vector<std::string>& pieces)
      -> std::optional<std::string> {
    delivered_.clear();
    std::string stream;
    if (!has_port_) {
      return "cannot listen";
    }
    {
      auto socket = TestSocket::Connect(server_.port());
      if (!socket.valid()) {
        return "cannot connect";
      }
      // Otherwise the kernel holds small pieces back for up to 40 ms.
      constexpr int kOn = 1;
      setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &kOn,
                 sizeof(kOn));
      Poll();
      for (const auto& piece : pieces) {
        stream += piece;
        // The server may have closed the connection for an earlier piece.
        socket.Write(piece);
        Poll();
      }
      const auto expected = ScanStream(stream).complete.size();
      for (int i = 0; i < kMaxPolls && delivered_.size() < expected; ++i) {
        Poll();
      }
      Poll();
      // Avoids a socket in TIME_WAIT for each stream.
      socket.Reset();
    }
    while (server_.connections() > 0) {
      event_base_loop(loop_.base(), EVLOOP_ONCE);
    }
    return Compare(stream);
  }

 private:
  // Rounds of polling after which no further request is delivered.
  static constexpr int kMaxPolls = 40;

  static auto MakeLimits() -> CallerServer::Limits {
    CallerServer::Limits limits;
    limits.connection.request = kFramingLimits;
    limits.body_budget_bytes = 1 << 20;
    return limits;
  }

  auto Poll() -> void {
    constexpr int kIterations = 6;
    for (int i = 0; i < kIterations; ++i) {
      event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
    }
  }

  auto OnRequest(CallerExchange& exchange) -> void {
    delivered_.push_back({exchange.head().method, exchange.head().target,
                          evbuffer_get_length(exchange.body())});
    exchange.Reply({200, "OK", {}}, "");
  }

  [[nodiscard]] auto Compare(const std::string& stream) const
      -> std::optional<std::string> {
    const auto scanned = ScanStream(stream);
    if (delivered_.size() > scanned.complete.size()) {
      return "evhttp delivered " + std::to_string(delivered_.size()) +
             " requests, the scanner found " +
             std::to_string(scanned.complete.size());
    }
    for (std::size_t i = 0; i < delivered_.size(); ++i) {
      if (delivered_[i] != scanned.complete[i]) {
        return "request " + std::to_string(i) +
               " differs: " + delivered_[i].method + " " +
               delivered_[i].target + " with " +
               std::to_string(delivered_[i].body_bytes) + " bytes, not " +
               scanned.complete[i].method + " " + scanned.complete[i].target +
               " with " + std::to_string(scanned.complete[i].body_bytes);
      }
    }
    // Both close the connection after such requests.
    const bool may_end_early = stream.find("close") != std::string::npos ||
                               stream.find("Expect") != std::string::npos;
    if (scanned.is_valid && !may_end_early &&
        delivered_.size() != scanned.complete.size()) {
      return "evhttp delivered " + std::to_string(delivered_.size()) + " of " +
             std::to_string(scanned.complete.size()) + " requests";
    }
    return std::nullopt;
  }

  EventLoop loop_;
  std::vector<FramedRequest> delivered_;
  bool has_port_ = false;
  CallerServer server_;
};

// Generates streams of requests, most of them with a fault in their framing.
class FramingGenerator {
 public:
  explicit FramingGenerator(std::uint64_t seed) : random_(seed) {}

  // Returns the next stream, split at random.
  auto Next() -> std::vector<std::string> {
    std::string stream;
    const auto count = 1 + random_.Below(4);
    for (std::uint64_t i = 0; i < count; ++i) {
      stream += Request(true);
    }
    if (random_.Below(4) == 0) {
      Mutate(stream);
    }
    if (random_.Below(8) == 0) {
      stream.resize(random_.Below(stream.size() + 1));
    }
    return Split(stream);
  }

 private:
  template <std::size_t kSize>
  auto Pick(const std::array<std::string_view, kSize>& choices) -> std::string {
    return std::string(choices[random_.Below(kSize)]);
  }
  // Returns `usual` in most cases.
  template <std::size_t kSize>
  auto Rarely(std::string_view usual,
              const std::array<std::string_view, kSize>& others)
      -> std::string {
    return random_.Below(8) == 0 ? Pick(others) : std::string(usual);
  }

  auto Request(bool may_nest) -> std::string {
    const auto method = Rarely(
        Pick<7>({"GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"}),
        std::array<std::string_view, 5>{"TRACE", "CONNECT", "get", "", "MOVE"});
    const auto target =
        Rarely("/a" + std::to_string(random_.Below(100)),
               std::array<std::string_view, 6>{"*", "http://h/x", "/a b", "",
                                               "/%00?x=%0d%0a", "//x"});
    const auto version = Rarely(
        "HTTP/1.1",
        std::array<std::string_view, 5>{"HTTP/1.0", "HTTP/1.2", "HTTP/2.0",
                                        "http/1.1", "HTTP/1.1 "});
    auto text = method + " " + target + " " + version + LineEnd() +
                Rarely("Host: h",
                       std::array<std::string_view, 3>{
                           "Host : h", "Host: h\r\nHost: i", "X: y"}) +
                LineEnd();
    const auto extra = random_.Below(3);
    for (std::uint64_t i = 0; i < extra; ++i) {
      text +=
          Pick<9>({"X-Id: 7", "Expect: 100-continue", "Expect: other",
                   "Connection: close", "Connection: keep-alive", "A: b\r\n c",
                   "A:\tb", "Keep-Alive: 5", "Transfer-Encoding : chunked"}) +
          LineEnd();
    }
    return text + Body(may_nest);
  }

  // Returns the framing headers, the end of the head, and a body.
  auto Body(bool may_nest) -> std::string {
    auto content = may_nest && random_.Below(2) == 0
                       ? Request(false)
                       : std::string(random_.Below(40), 'x');
    switch (random_.Below(4)) {
      case 0:
        return LineEnd() + (random_.Below(4) == 0 ? content : "");
      case 1:
        return Pick<2>({"Content-Length: ", "content-length:"}) +
               Length(content.size()) + LineEnd() + LineEnd() + content;
      case 2:
        return "Transfer-Encoding: " +
               Rarely("chunked",
                      std::array<std::string_view, 5>{
                          "Chunked", "chunked, chunked", "xchunked", "identity",
                          "gzip, chunked"}) +
               LineEnd() + LineEnd() + Chunks(content);
      default:
        return "Content-Length: " + Length(content.size()) + LineEnd() +
               Rarely("X: y",
                      std::array<std::string_view, 2>{
                          "Transfer-Encoding: chunked", "Content-Length: 3"}) +
               LineEnd() + LineEnd() + content;
    }
  }

  auto Length(std::size_t size) -> std::string {
    auto right = std::to_string(size);
    switch (random_.Below(12)) {
      case 0:
        return "+" + right;
      case 1:
        return std::to_string(size + 1 + random_.Below(5));
      case 2:
        return std::to_string(random_.Below(size + 1));
      case 3:
        return Pick<6>(
            {"-1", "0x5", "5, 5", "", "99999999999999999999", "1e1"});
      case 4:
        return "00" + right + " ";
      default:
        return right;
    }
  }

  auto Chunks(std::string_view content) -> std::string {
    std::string text;
    while (!content.empty()) {
      const auto size = 1 + random_.Below(content.size());
      std::array<char, 20> hex = {};
      std::snprintf(hex.data(), hex.size(),
                    random_.Below(2) == 0 ? "%zx" : "%zX",
                    static_cast<std::size_t>(size));
      text += Rarely("", std::array<std::string_view, 4>{" ", "0", "+", "0x"}) +
              hex.data() +
              Rarely("", std::array<std::string_view, 4>{";a=b", " ", "\t",
                                                         "\r\n"}) +
              LineEnd();
      text += content.substr(0, size);
      text += LineEnd();
      content.remove_prefix(size);
    }
    return text + Rarely("0", std::array<std::string_view, 3>{"00", "-0", ""}) +
           LineEnd() +
           Rarely("", std::array<std::string_view, 2>{"Content-Length: 5\r\n",
                                                      "X: y\r\n"}) +
           LineEnd();
  }

  auto LineEnd() -> std::string {
    return random_.Below(60) == 0 ? Pick<4>({"\n", "\r", "\r\r\n", "\n\r\n"})
                                  : std::string("\r\n");
  }

  auto Mutate(std::string& stream) -> void {
    const auto count = 1 + random_.Below(3);
    for (std::uint64_t i = 0; i < count && !stream.empty(); ++i) {
      const auto at = random_.Below(stream.size());
      switch (random_.Below(3)) {
        case 0:
          stream[at] = static_cast<char>(random_.Below(256));
          break;
        case 1:
          stream.erase(at, 1 + random_.Below(3));
          break;
        default:
          stream.insert(at, Pick<5>({"\r\n", "\n", " ", ":", "0"}));
      }
    }
  }

  auto Split(const std::string& stream) -> std::vector<std::string> {
    std::vector<std::string> pieces;
    std::size_t at = 0;
    const bool is_whole = random_.Below(2) == 0;
    while (at < stream.size()) {
      const auto size =
          is_whole ? stream.size() : 1 + random_.Below(stream.size() - at);
      pieces.push_back(stream.substr(at, size));
      at += size;
    }
    return pieces;
  }

  Random random_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_FUZZ_REQUEST_FRAMING_H_
