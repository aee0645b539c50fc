#include "node/control/store/store_task.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "core/overloaded.h"
#include "decision/fleet/published_shard.h"
#include "node/log.h"
#include "runtime/clock.h"
#include "wire/published_codec.h"

namespace flamingoyoke {
namespace {

constexpr int kStatusOk = 200;
// A list that was refused is continued for this long, half of the time for
// which the store keeps the changes since its first page.
constexpr Duration kMaxListTime = std::chrono::seconds(10);
// The fleet task drains a full mailbox in its next iteration.
constexpr Duration kPostRetryInterval = std::chrono::milliseconds(20);
// Delay before an unanswered read is repeated on a new connection.
constexpr Duration kRetryDelay = std::chrono::milliseconds(20);
// Shortest wait of a watch. A repeated one waits no longer, so that it is
// answered before its connection fails, too.
constexpr Duration kShortestWatch = std::chrono::milliseconds(1);

auto DescribeFailure(const StoreReader::Response& response) -> std::string {
  return response.outcome == ReadOutcome::kAnswered
             ? "with status " + std::to_string(response.status)
             : "without an answer: " + std::string(ToName(response.outcome));
}

auto DescribeContact(const StoreContact& contact, TimePoint now)
    -> std::string {
  const auto describe = [&](const std::optional<TimePoint>& since) {
    return since ? std::to_string(ToMilliseconds(now - *since)) + " ms"
                 : std::string("an unknown time");
  };
  return "which last answered a read " + describe(contact.answered_at) +
         " ago and has been available for " + describe(contact.available_since);
}

// The era rises by one with each return of the store. A larger one comes from
// another program, and all later answers would be refused.
constexpr std::uint64_t kMaxEra = 1'000'000'000;

// Returns nothing if the header names no era. Answers without it are of era 0.
auto ParseEra(const std::string& header) -> std::optional<StoreEra> {
  if (header.empty()) {
    return StoreEra();
  }
  std::uint64_t number = 0;
  const auto* end = header.data() + header.size();
  const auto [rest, error] = std::from_chars(header.data(), end, number);
  if (error != std::errc() || rest != end || number > kMaxEra) {
    return std::nullopt;
  }
  return StoreEra(number);
}

auto CheckReadable(const StoreItem& item) -> Result<void> {
  if (!item.unreadable.empty()) {
    return Fail(ErrorKind::kTableRefused,
                "the value cannot be decoded: " + item.unreadable);
  }
  return {};
}

}  // namespace

StoreTask::StoreTask(StoreConfig config,
                     StoreDialect dialect,
                     Mailbox<FleetMessage>& fleet)
    : config_(std::move(config)),
      dialect_(std::move(dialect)),
      fleet_(fleet),
      outbox_(fleet),
      schedule_(Random(config_.seed)) {}

auto StoreTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  reader_ = std::make_unique<StoreReader>(context.loop(), config_,
                                          dialect_.era_header);
  read_timer_ = context.loop().MakeTimer([this] { StartRead(); });
  post_timer_ = context.loop().MakeTimer([this] {
    outbox_.PostPending();
    if (outbox_.has_pending()) {
      post_timer_.Schedule(kPostRetryInterval);
    }
  });
  fleet_.Post(StoreTaskStarted{});
  return {};
}

auto StoreTask::Handle(Message message) -> Result<void> {
  std::visit([this](const auto& typed) { HandleMessage(typed); }, message);
  return {};
}

auto StoreTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto StoreTask::HandleMessage(const ReaderRoleChanged& changed) -> void {
  if (std::exchange(is_reader_, changed.is_reader) == changed.is_reader) {
    return;
  }
  Log(Part::kStore, LogLevel::kInfo,
      is_reader_ ? "this VM was elected as a reader of the store, " +
                       DescribeContact(changed.store, Now())
                 : "this VM is no longer a reader of the store");
  // The known state is outdated in the next term. A new list also detects
  // removals that happened while this VM was not watching.
  DiscardList();
  if (!is_reader_) {
    tracker_.OnStopped();
    return;
  }
  recovery_.OnStarted();
  tracker_.OnStarted(changed.store);
  is_available_ = true;
  if (!is_reading_) {
    reader_->CloseConnection();
    StartRead();
  }
}

auto StoreTask::HandleMessage(const PublishedInForce& changed) -> void {
  tracker_.OnCurrentRegistry(changed.registry, Now());
  if (changed.registry) {
    known_era_ = std::max(known_era_, changed.registry->era);
  }
  RecordRouting(changed.routing, known_era_);
}

auto StoreTask::DiscardList() -> void {
  ++discarded_lists_;
  watch_after_ = 0;
  list_cursor_.clear();
  list_targets_.clear();
  list_era_.reset();
}

auto StoreTask::AcceptEra(const StoreReader::Response& response) -> bool {
  const auto era = ParseEra(response.era);
  const auto latest = std::max(known_era_, list_era_.value_or(StoreEra()));
  if (!era || *era < latest) {
    DiscardList();
    OnReadFailed(era ? "an answer is of era " + std::to_string(era->value()) +
                           ", before era " + std::to_string(latest.value())
                     : "the era \"" + response.era + "\" of an answer is not " +
                           "a whole number up to " + std::to_string(kMaxEra));
    return false;
  }
  if (!list_era_ || *list_era_ == *era) {
    list_era_ = era;
    return true;
  }
  Log(Part::kStore, LogLevel::kWarning,
      "an answer is of era " + std::to_string(era->value()) +
          " after revision " +
          std::to_string(std::max(watch_after_, list_revision_)) + " of era " +
          std::to_string(list_era_->value()) + "; listing all keys again");
  DiscardList();
  read_timer_.Schedule(schedule_.DelayAfterAnswer());
  return false;
}

auto StoreTask::StartRead() -> void {
  if (!is_reader_ || is_reading_) {
    return;
  }
  is_reading_ = true;
  if (watch_after_ != 0 || list_cursor_.empty()) {
    // The pages of a list that is continued were read since the first request.
    requested_at_ = Now();
  }
  if (watch_after_ == 0) {
    RequestList();
    return;
  }
  RequestWatch();
}

auto StoreTask::Request(const std::string& target,
                        Duration timeout,
                        ResponseHandler handler) -> void {
  reader_->Get(target, timeout,
               [this, handler, discarded = discarded_lists_](
                   const StoreReader::Response& response) {
                 is_reading_ = false;
                 if (discarded == discarded_lists_) {
                   (this->*handler)(response);
                 } else {
                   // The answer is of a term as a reader that has ended.
                   StartRead();
                 }
               });
}

auto StoreTask::RequestList() -> void {
  Request(dialect_.list_target(list_cursor_), ReadTimeout(Duration::zero()),
          &StoreTask::OnListResponse);
}

auto StoreTask::RequestWatch() -> void {
  // The next registry is proposed when the watch is answered.
  const auto settled =
      tracker_.TimeUntilSettled(Now()).value_or(config_.watch_timeout);
  const auto wait =
      recovery_.is_retrying()
          ? kShortestWatch
          : std::clamp(settled, kShortestWatch, config_.watch_timeout);
  Request(dialect_.watch_target(watch_after_, wait), ReadTimeout(wait),
          &StoreTask::OnWatchResponse);
}

auto StoreTask::ReadTimeout(Duration wait) const -> Duration {
  return recovery_.LimitTimeout(config_.read_timeout + wait, Now());
}

auto StoreTask::OnListResponse(const StoreReader::Response& response) -> void {
  if (response.status == kStatusOk && !AcceptEra(response)) {
    return;
  }
  std::optional<StorePage> page;
  if (response.status == kStatusOk) {
    const auto error =
        CaptureInto(page, [&] { return dialect_.read_page(response.body); });
    if (error) {
      OnReadFailed("cannot decode the list response: " + error->detail);
      return;
    }
  }
  if (!page && response.outcome == ReadOutcome::kAnswered) {
    // The pages before stay: while the store refuses calls above its rate, a
    // list from the beginning would never get through. The watch after it
    // starts at the revision of the first page.
    if (Now() - requested_at_ > kMaxListTime) {
      DiscardList();
    }
    OnReadFailed("list request failed " + DescribeFailure(response));
    return;
  }
  if (!page) {
    list_cursor_.clear();
    list_targets_.clear();
    OnUnanswered("list", response.outcome);
    return;
  }
  if (list_cursor_.empty()) {
    // Later pages may show later revisions. Watching from the revision of the
    // first page delivers those changes again instead of missing any.
    list_revision_ = page->as_of;
  }
  for (const auto& item : page->items) {
    ApplyItem(item, &list_targets_);
  }
  if (page->has_more && !page->items.empty()) {
    list_cursor_ = page->items.back().key;
    is_reading_ = true;
    RequestList();
    return;
  }
  list_cursor_.clear();
  watch_after_ = list_revision_;
  last_revision_ = page->as_of;
  TakeInList();
  OnReadSucceeded();
}

auto StoreTask::RecordAnswer() -> void {
  tracker_.OnAnswered(requested_at_, Now());
  if (tracker_.availability().was_interrupted()) {
    Log(Part::kStore, LogLevel::kInfo,
        "no VM is known to have been answered by the store lately; targets "
        "without an entry are kept for " +
            std::to_string(ToMilliseconds(RegistryTracker::kSettleTime)) +
            " ms");
  }
}

auto StoreTask::TakeInList() -> void {
  // A store that names no era is in era 0.
  if (StoreEra() < known_era_ && known_era_ < *list_era_) {
    Log(Part::kStore, LogLevel::kWarning,
        "the store has returned from an older copy: it is in era " +
            std::to_string(list_era_->value()) + " after era " +
            std::to_string(known_era_.value()));
  }
  known_era_ = *list_era_;
  RecordAnswer();
  const auto now = Now();
  std::size_t older = 0;
  for (const auto& target : list_targets_) {
    const auto age = tracker_.AgeInList(target, known_era_, now);
    older += age == EntryAge::kOlder ? 1 : 0;
    if (age == EntryAge::kBeforeLeft) {
      Log(Part::kStore, LogLevel::kWarning,
          "target " + target.id.value() + " left before era " +
              std::to_string(known_era_.value()) + ": ignored report " +
              std::to_string(target.sequence) + " of its start at " +
              std::to_string(target.started_ms) + " ms in the copy");
    }
  }
  Log(Part::kStore, LogLevel::kInfo,
      "listed " + std::to_string(list_targets_.size()) +
          " targets at revision " + std::to_string(list_revision_) +
          " of era " + std::to_string(known_era_.value()) + "; " +
          std::to_string(older) + " have sent newer reports before");
  tracker_.OnListed(std::exchange(list_targets_, {}), known_era_, now);
}

auto StoreTask::OnWatchResponse(const StoreReader::Response& response) -> void {
  if (response.outcome != ReadOutcome::kAnswered) {
    OnUnanswered("watch", response.outcome);
    return;
  }
  if (response.status == kStatusOk && !AcceptEra(response)) {
    return;
  }
  if (response.status == dialect_.compacted_status) {
    Log(Part::kStore, LogLevel::kWarning,
        "the store has compacted the changes after revision " +
            std::to_string(watch_after_) + "; listing all keys again");
    DiscardList();
    StartRead();
    return;
  }
  if (response.status != kStatusOk) {
    OnReadFailed("watch request failed " + DescribeFailure(response));
    return;
  }
  std::optional<StorePage> page;
  const auto error =
      CaptureInto(page, [&] { return dialect_.read_page(response.body); });
  if (error) {
    OnReadFailed("cannot decode the watch response: " + error->detail);
    return;
  }
  RecordAnswer();
  for (const auto& item : page->items) {
    ApplyItem(item, nullptr);
  }
  watch_after_ = std::max(watch_after_, page->as_of);
  last_revision_ = watch_after_;
  OnReadSucceeded();
}

auto StoreTask::OnUnanswered(const std::string& read, ReadOutcome outcome)
    -> void {
  if (!recovery_.ShouldRetry(outcome, requested_at_, Now())) {
    OnReadFailed(read + " request failed " + DescribeFailure({outcome, 0, {}}));
    return;
  }
  Log(Part::kStore, LogLevel::kInfo,
      "a " + read + " after revision " + std::to_string(watch_after_) +
          " ended without an answer: " + std::string(ToName(outcome)) +
          "; retrying on a new connection");
  read_timer_.Schedule(kRetryDelay);
}

auto StoreTask::OnReadFailed(const std::string& reason) -> void {
  if (std::exchange(is_available_, false)) {
    Log(Part::kStore, LogLevel::kWarning,
        "the store is unavailable: " + reason);
    fleet_.Post(SourceStateChanged{false});
  }
  read_timer_.Schedule(schedule_.DelayAfterFailure());
}

auto StoreTask::OnReadSucceeded() -> void {
  if (!std::exchange(is_available_, true)) {
    Log(Part::kStore, LogLevel::kInfo, "the store is available again");
    fleet_.Post(SourceStateChanged{true});
  }
  schedule_.DelayAfterAnswer();
  recovery_.OnAnswered();
  PostRegistry();
  if (!outbox_.has_pending()) {
    fleet_.Post(SourceRead{requested_at_, tracker_.availability().since()});
  }
  read_timer_.Schedule(
      ReadSchedule::WatchInterval(config_.watch_interval, registry_bytes_));
}

auto StoreTask::ApplyItem(const StoreItem& item,
                          std::vector<RegisteredTarget>* targets) -> void {
  std::visit(
      Overloaded{
          [&](const RoutingKey&) { ApplyRouting(item); },
          [&](const TargetKey& key) { ApplyTarget(key.target, item, targets); },
          [](const OtherKey&) {},
      },
      dialect_.read_key(item.key));
}

auto StoreTask::ApplyRouting(const StoreItem& item) -> void {
  if (item.removed) {
    Log(Part::kStore, LogLevel::kWarning,
        "the published configuration was removed; keeping the last version");
    return;
  }
  std::optional<Routing> routing;
  const auto error = CaptureInto(routing, [&]() -> Result<Routing> {
    BOOST_LEAF_CHECK(CheckReadable(item));
    return dialect_.read_routing(item.value);
  });
  if (error) {
    Log(Part::kStore, LogLevel::kWarning,
        "rejected the published configuration: " + error->detail);
    return;
  }
  if (routing->revision < routing_revision_) {
    Log(Part::kStore, LogLevel::kWarning,
        "kept configuration " + std::to_string(routing_revision_.value()) +
            ", known since era " + std::to_string(routing_era_.value()) +
            ": the store has the older version " +
            std::to_string(routing->revision.value()) + " in era " +
            std::to_string(list_era_.value_or(known_era_).value()));
    return;
  }
  RecordRouting(routing->revision, list_era_.value_or(known_era_));
  PostVersion({kRoutingShard, routing->revision, EncodeRouting(*routing)});
}

auto StoreTask::RecordRouting(Revision revision, StoreEra era) -> void {
  if (routing_revision_ < revision) {
    routing_revision_ = revision;
    routing_era_ = era;
  }
}

auto StoreTask::ApplyTarget(const TargetId& id,
                            const StoreItem& item,
                            std::vector<RegisteredTarget>* targets) -> void {
  if (item.removed) {
    tracker_.OnRemoved(id, Now());
    return;
  }
  std::optional<RegisteredTarget> target;
  const auto error = CaptureInto(target, [&]() -> Result<RegisteredTarget> {
    BOOST_LEAF_CHECK(CheckReadable(item));
    return dialect_.read_target(id, item.value);
  });
  if (error) {
    // Another program may have chosen the id, so it is escaped.
    Log(Part::kStore, LogLevel::kWarning,
        "invalid registry entry for target " +
            nlohmann::json(id.value()).dump() + ": " + error->detail);
    if (targets == nullptr) {
      tracker_.OnRemoved(id, Now());
    }
    return;
  }
  if (targets != nullptr) {
    targets->push_back(std::move(*target));
    return;
  }
  if (tracker_.IsOutdated(*target, Now())) {
    ++outdated_reports_;
    Log(Part::kStore, LogLevel::kWarning,
        "ignored report " + std::to_string(target->sequence) + " of target " +
            id.value() + ", which started at " +
            std::to_string(target->started_ms) + " ms: a newer one is known; " +
            std::to_string(outdated_reports_) + " ignored so far");
  }
  tracker_.OnChanged(*target, Now());
}

auto StoreTask::PostRegistry() -> void {
  const auto registry = tracker_.ProposeRegistry(last_revision_, Now());
  if (!registry) {
    return;
  }
  auto text = EncodeRegistry(*registry);
  registry_bytes_ = text.size();
  PostVersion(
      {kRegistryShard, registry->revision, std::move(text), registry->era});
}

auto StoreTask::PostVersion(TableRead read) -> void {
  outbox_.Post(std::move(read));
  if (outbox_.has_pending()) {
    post_timer_.Schedule(kPostRetryInterval);
  }
}

}  // namespace flamingoyoke
