#include "integration/soak/caller_task.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kFreshBook = 0;
constexpr std::size_t kStaleBook = 1;
constexpr std::size_t kOldBook = 2;
constexpr int kStaleFactor = 3;
constexpr std::uint64_t kCallersPerStaleOne = 3;
constexpr std::uint64_t kCallersPerOldOne = 6;
// The share of requests with a part that the link loses at first, and the time
// until TCP has sent it again.
constexpr double kLinkLossShare = 0.02;
constexpr std::uint64_t kShortestResendMs = 200;
constexpr std::uint64_t kResendSpreadMs = 800;
// The spread of work times, and how many of them are long by what factor.
constexpr double kWorkSpread = 0.3;
constexpr double kLongWorkShare = 0.03;
constexpr double kLongWorkFactor = 7;
// An answer that crosses the caller's deadline is still read.
constexpr auto kGiveUpSlack = milliseconds(300);
// Share of callers that leave within the time that most work takes.
constexpr double kImpatientShare = 0.05;
constexpr double kImpatientWorkFactor = 2;
// One of so many requests names a team that is not the caller's.
constexpr std::uint64_t kRequestsPerFalseTeam = 4;
constexpr auto kDirectoryTimeout = std::chrono::seconds(1);

// Returns the teams of successive callers, in proportion to their weights.
auto TeamsInTurn(const SoakSettings& settings) -> std::vector<std::size_t> {
  std::vector<std::size_t> turns;
  for (std::size_t i = 0; i < settings.teams.size(); ++i) {
    turns.insert(turns.end(), settings.teams[i].weight, i);
  }
  return turns;
}

}  // namespace

CallerTask::CallerTask(const SoakSettings& settings,
                       std::vector<GatewayEndpoints> gateways,
                       std::uint64_t seed,
                       Mailbox<CallMessage>& ended)
    : settings_(settings),
      gateways_(std::move(gateways)),
      random_(seed),
      ended_(ended) {
  double weights = 0;
  for (const auto& route : settings_.routes) {
    weights += route.weight;
  }
  const auto turns = TeamsInTurn(settings_);
  for (std::size_t i = 0; i < settings_.callers; ++i) {
    auto left = random_.Unit() * weights;
    std::size_t route = 0;
    while (left >= settings_.routes[route].weight) {
      left -= settings_.routes[route++].weight;
    }
    auto& caller = callers_.emplace_back();
    caller.route = route;
    caller.team = turns[i % turns.size()];
    const auto& keys = settings_.teams[caller.team].keys;
    caller.key = keys[i % keys.size()];
    caller.book = i % kCallersPerOldOne == 1     ? kOldBook
                  : i % kCallersPerStaleOne == 0 ? kStaleBook
                                                 : kFreshBook;
  }
}

auto CallerTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  timers_.emplace(context.loop());
  directory_.emplace(context.loop());
  Refresh(kFreshBook);
  Refresh(kStaleBook);
  Refresh(kOldBook);
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    SendLater(i);
  }
  return {};
}

auto CallerTask::Handle(Message message) -> Result<void> {
  std::visit([this](const auto& each) { Apply(each); }, message);
  return {};
}

auto CallerTask::Stop(StopMode mode) -> void {
  is_stopping_ = true;
  if (mode == StopMode::kHard) {
    context_->Exit();
    return;
  }
  ExitIfIdle();
}

auto CallerTask::Refresh(std::size_t book) -> void {
  const auto index = random_.Below(gateways_.size());
  directory_->Send(
      {.server = gateways_[index].directory,
       .target = std::string("/flamingoyoke/resolve?name=") + kSoakHost +
                 "&region=r&zone=a",
       .timeout = kDirectoryTimeout},
      [this, book](const standin::HttpAnswer& answer) {
        if (answer.status == 200) {
          OnAddresses(book, answer.body);
          if (book == kOldBook && !books_.at(book).empty()) {
            return;
          }
        }
        const auto ttl =
            settings_.address_ttl * (book == kStaleBook ? kStaleFactor : 1);
        timers_->After(answer.status == 200 ? ttl : milliseconds(50),
                       [this, book] { Refresh(book); });
      });
}

auto CallerTask::OnAddresses(std::size_t book, const std::string& body)
    -> void {
  std::vector<std::size_t> found;
  const auto answer = nlohmann::json::parse(body);
  for (const auto& address : answer.at("addrs")) {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (gateways_[i].front.text == address) {
        found.push_back(i);
      }
    }
  }
  if (!found.empty()) {
    books_.at(book) = std::move(found);
  }
}

auto CallerTask::ForgetOldAddress(std::size_t gateway) -> void {
  auto& book = books_.at(kOldBook);
  if (std::erase(book, gateway) > 0 && book.empty()) {
    Refresh(kOldBook);
  }
}

auto CallerTask::SendLater(std::size_t caller) -> void {
  const auto requests =
      static_cast<double>(settings_.routes[callers_[caller].route].pipelined);
  const double mean_s = requests * static_cast<double>(settings_.callers) /
                        (settings_.requests_per_s * rate_factor_);
  const double pause_s = -mean_s * std::log(1 - random_.Unit());
  timers_->After(Duration(static_cast<std::int64_t>(pause_s * 1e6)),
                 [this, caller] { Send(caller); });
}

auto CallerTask::Send(std::size_t index) -> void {
  if (is_stopping_) {
    return;
  }
  auto& caller = callers_[index];
  if (!caller.connection && !Connect(index)) {
    SendLater(index);
    return;
  }
  const auto& route = settings_.routes[caller.route];
  std::string bytes;
  for (std::size_t i = 0; i < route.pipelined; ++i) {
    EndedCall call;
    call.id = "c-" + std::to_string(++sent_);
    call.gateway = caller.gateway;
    call.route = caller.route;
    call.team = caller.team;
    call.key = caller.key;
    call.time.start = Now();
    call.is_kept = caller.is_kept;
    call.is_behind = i > 0;
    bytes += MakeRequest(call);
    caller.waiting.push_back(std::move(call));
    ++in_flight_;
  }
  if (route.pipelined == 1 && random_.Unit() < kLinkLossShare) {
    SendInParts(index, bytes);
  } else {
    caller.connection->Send(std::exchange(caller.unsent, {}) + bytes);
  }
  const auto last = caller.waiting.back().id;
  GiveUpAfter(PickPatience(route), index, last);
}

auto CallerTask::SendInParts(std::size_t index, const std::string& bytes)
    -> void {
  auto& caller = callers_[index];
  const auto first = random_.Below(bytes.size());
  caller.connection->Send(std::exchange(caller.unsent, bytes.substr(first)) +
                          bytes.substr(0, first));
  timers_->After(
      milliseconds(kShortestResendMs + random_.Below(kResendSpreadMs)),
      [this, index, connection = caller.connection.get()] {
        auto& later = callers_[index];
        if (later.connection.get() == connection && !later.unsent.empty()) {
          connection->Send(std::exchange(later.unsent, {}));
        }
      });
}

auto CallerTask::GiveUpAfter(Duration time, std::size_t index, std::string id)
    -> void {
  timers_->After(time, [this, index, id = std::move(id)] {
    const auto& waiting = callers_[index].waiting;
    if (!waiting.empty() && waiting.back().id == id) {
      EndConnection(index, CallEnd::kGivenUp);
    }
  });
}

auto CallerTask::Connect(std::size_t index) -> bool {
  auto& caller = callers_[index];
  const auto& book = books_.at(caller.book);
  if (book.empty()) {
    return false;
  }
  caller.gateway = book[random_.Below(book.size())];
  caller.is_kept = false;
  caller.has_sent = false;
  caller.connection = std::make_unique<CallerConnection>(
      context_->loop(), gateways_[caller.gateway].front,
      CallerConnection::Events{
          .on_answer = [this,
                        index](const auto& answer) { OnAnswer(index, answer); },
          .on_sent =
              [this, index] {
                callers_[index].has_sent = true;
                for (auto& call : callers_[index].waiting) {
                  call.time.start = Now();
                }
              },
          .on_end = [this, index] { EndConnection(index, CallEnd::kClosed); }});
  return true;
}

auto CallerTask::MakeRequest(const EndedCall& call) -> std::string {
  const auto& route = settings_.routes[call.route];
  std::string head = route.kind == "safe" ? "GET " : "POST ";
  head += route.prefix + "1 HTTP/1.1\r\nHost: " + kSoakHost +
          "\r\nX-Request-Id: " + call.id + "\r\nX-Request-Deadline-Ms: " +
          std::to_string(route.deadline.count()) +
          "\r\nX-Work-Ms: " + std::to_string(ToMilliseconds(PickWork(route))) +
          "\r\n";
  head += "X-Key: " + call.key + "\r\n";
  if (sent_ % kRequestsPerFalseTeam == 0) {
    const auto other = (call.team + 1) % settings_.teams.size();
    head += "X-Tenant-Id: " + settings_.teams[other].name + "\r\n";
  }
  if (route.body_bytes > 0) {
    head += "Content-Length: " + std::to_string(route.body_bytes) + "\r\n";
  }
  return head + "\r\n" + std::string(route.body_bytes, 'x');
}

auto CallerTask::PickWork(const RouteSettings& route) -> Duration {
  constexpr double kTwoPi = 6.283185307179586;
  const double normal = std::sqrt(-2 * std::log(1 - random_.Unit())) *
                        std::cos(kTwoPi * random_.Unit());
  const double factor = random_.Unit() < kLongWorkShare ? kLongWorkFactor : 1;
  const double work_ms = static_cast<double>(route.median_work.count()) *
                         factor * std::exp(kWorkSpread * normal);
  return std::min<Duration>(route.longest_work,
                            milliseconds(static_cast<std::int64_t>(work_ms)));
}

auto CallerTask::PickPatience(const RouteSettings& route) -> Duration {
  if (random_.Unit() >= kImpatientShare) {
    return route.deadline + kGiveUpSlack;
  }
  return Duration(static_cast<std::int64_t>(
      random_.Unit() * kImpatientWorkFactor *
      static_cast<double>(Duration(route.median_work).count())));
}

auto CallerTask::OnAnswer(std::size_t index, const standin::HttpAnswer& answer)
    -> void {
  auto& caller = callers_[index];
  if (!caller.connection) {
    return;
  }
  const auto signature = answer.Header("X-Gateway-Signature");
  EndedCall call;
  call.gateway = caller.gateway;
  const bool is_expected = !caller.waiting.empty();
  if (is_expected) {
    call = std::move(caller.waiting.front());
    caller.waiting.pop_front();
  }
  call.status = answer.status;
  call.is_over_limit = answer.Header("Flamingoyoke-Error") == "team-limit";
  call.is_signed = !signature.empty();
  call.is_right = answer.body == "body of " + call.id &&
                  answer.Header("X-Request-Id") == call.id &&
                  signature.ends_with("." + call.id);
  caller.is_kept = true;
  if (is_expected) {
    Post(std::move(call), CallEnd::kAnswered);
  } else {
    ++in_flight_;
    Post(std::move(call), CallEnd::kUnexpected);
  }
  if (answer.Header("Connection") == "close") {
    EndConnection(index, CallEnd::kNotRead);
  } else if (is_expected && caller.waiting.empty()) {
    SendLater(index);
  }
}

auto CallerTask::EndConnection(std::size_t index, CallEnd end) -> void {
  auto& caller = callers_[index];
  if (!caller.connection) {
    return;
  }
  // An idle caller, which still has its timer, is not to send twice.
  const bool was_sending = !caller.waiting.empty() || end == CallEnd::kNotRead;
  if (caller.book == kOldBook && !caller.has_sent && was_sending) {
    ForgetOldAddress(caller.gateway);
  }
  if (end == CallEnd::kClosed && !caller.unsent.empty()) {
    end = CallEnd::kNotSent;
  }
  caller.unsent.clear();
  if (end == CallEnd::kReset) {
    caller.connection->ResetOnClose();
  }
  closing_.push_back(std::move(caller.connection));
  timers_->After(Duration::zero(), [this] { closing_.clear(); });
  for (auto& call : std::exchange(caller.waiting, {})) {
    Post(std::move(call), end);
  }
  if (was_sending) {
    SendLater(index);
  }
}

auto CallerTask::Post(EndedCall call, CallEnd end) -> void {
  call.time.end = Now();
  call.end = end;
  ended_.Post(std::move(call));
  --in_flight_;
  ExitIfIdle();
}

auto CallerTask::Apply(const ResetCallers& message) -> void {
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    if (callers_[i].gateway == message.gateway) {
      EndConnection(i, CallEnd::kReset);
    }
  }
}

auto CallerTask::Apply(const SetRate& message) -> void {
  rate_factor_ = message.factor;
}

auto CallerTask::ExitIfIdle() -> void {
  if (is_stopping_ && in_flight_ == 0) {
    context_->Exit();
  }
}

}  // namespace flamingoyoke::integration
