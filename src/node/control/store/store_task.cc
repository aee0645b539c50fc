#include "node/control/store/store_task.h"

#include <algorithm>
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
// A full mailbox of the fleet task is emptied within its next turn.
constexpr Duration kPostRetry = std::chrono::milliseconds(20);

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
  reader_ = std::make_unique<StoreReader>(context.loop(), config_);
  timer_ = context.loop().MakeTimer([this] { Read(); });
  post_timer_ = context.loop().MakeTimer([this] {
    outbox_.PostKept();
    if (outbox_.has_kept()) {
      post_timer_.Schedule(kPostRetry);
    }
  });
  return {};
}

auto StoreTask::Handle(Message message) -> Result<void> {
  std::visit([this](const auto& typed) { Take(typed); }, message);
  return {};
}

auto StoreTask::Stop(StopMode /*mode*/) -> void {
  context_->Exit();
}

auto StoreTask::Take(const ReaderRoleChanged& changed) -> void {
  const bool starts = changed.is_reader && !is_reader_;
  if (changed.is_reader != is_reader_) {
    Log(Part::kStore, LogLevel::kInfo,
        changed.is_reader ? "this vm reads the store for others"
                          : "this vm no longer reads the store");
  }
  is_reader_ = changed.is_reader;
  if (starts && !is_reading_) {
    // What was known is old; removals since then must not be missed.
    watch_after_ = 0;
    list_after_.clear();
    list_targets_.clear();
    tracker_.OnStarted(changed.source_was_healthy, Now());
    is_available_ = true;
    Read();
  }
}

auto StoreTask::Take(const RegistryInForce& changed) -> void {
  tracker_.OnCurrentRegistry(changed.registry);
}

auto StoreTask::Read() -> void {
  if (!is_reader_ || is_reading_) {
    return;
  }
  is_reading_ = true;
  if (watch_after_ == 0) {
    List();
    return;
  }
  Watch();
}

auto StoreTask::List() -> void {
  reader_->Get(
      dialect_.list_target(list_after_), Duration::zero(),
      [this](int status, const std::string& body) { OnListed(status, body); });
}

auto StoreTask::Watch() -> void {
  reader_->Get(dialect_.watch_target(watch_after_, config_.watch_time),
               config_.watch_time, [this](int status, const std::string& body) {
                 OnWatched(status, body);
               });
}

auto StoreTask::OnListed(int status, const std::string& body) -> void {
  is_reading_ = false;
  std::optional<StorePage> page;
  if (status == kStatusOk) {
    const auto error =
        CaptureInto(page, [&] { return dialect_.read_page(body); });
    if (error) {
      OnFailed("a list of the store is unreadable: " + error->detail);
      return;
    }
  }
  if (!page) {
    list_after_.clear();
    list_targets_.clear();
    OnFailed("a list of the store was not answered, status " +
             std::to_string(status));
    return;
  }
  if (list_after_.empty()) {
    // Later pages may show later states; watching from here repeats those.
    list_as_of_ = page->as_of;
  }
  for (const auto& item : page->items) {
    TakeItem(item, &list_targets_);
  }
  if (page->has_more && !page->items.empty()) {
    list_after_ = page->items.back().key;
    is_reading_ = true;
    List();
    return;
  }
  list_after_.clear();
  watch_after_ = list_as_of_;
  last_as_of_ = page->as_of;
  tracker_.OnListed(std::exchange(list_targets_, {}), Now());
  OnAnswered();
}

auto StoreTask::OnWatched(int status, const std::string& body) -> void {
  is_reading_ = false;
  if (status == dialect_.compacted_status) {
    Log(Part::kStore, LogLevel::kWarning,
        "the store forgot the changes after revision " +
            std::to_string(watch_after_) + "; all is listed again");
    watch_after_ = 0;
    Read();
    return;
  }
  if (status != kStatusOk) {
    OnFailed("a watch of the store was not answered, status " +
             std::to_string(status));
    return;
  }
  std::optional<StorePage> page;
  const auto error =
      CaptureInto(page, [&] { return dialect_.read_page(body); });
  if (error) {
    OnFailed("a watch of the store is unreadable: " + error->detail);
    return;
  }
  for (const auto& item : page->items) {
    TakeItem(item, nullptr);
  }
  watch_after_ = std::max(watch_after_, page->as_of);
  last_as_of_ = watch_after_;
  OnAnswered();
}

auto StoreTask::OnFailed(const std::string& reason) -> void {
  if (std::exchange(is_available_, false)) {
    Log(Part::kStore, LogLevel::kWarning, "lost the store: " + reason);
    fleet_.Post(SourceStateChanged{false});
  }
  tracker_.OnFailed();
  timer_.Schedule(schedule_.DelayAfterFailure());
}

auto StoreTask::OnAnswered() -> void {
  if (!std::exchange(is_available_, true)) {
    Log(Part::kStore, LogLevel::kInfo, "the store answers again");
    fleet_.Post(SourceStateChanged{true});
  }
  schedule_.DelayAfterAnswer();
  tracker_.OnAnswered(Now());
  Propose();
  timer_.Schedule(config_.watch_pause);
}

auto StoreTask::TakeItem(const StoreItem& item,
                         std::vector<RegisteredTarget>* targets) -> void {
  std::visit(
      Overloaded{
          [&](const RoutingKey&) { TakeRouting(item); },
          [&](const TargetKey& key) { TakeTarget(key.target, item, targets); },
          [](const OtherKey&) {},
      },
      dialect_.read_key(item.key));
}

auto StoreTask::TakeRouting(const StoreItem& item) -> void {
  if (item.removed) {
    Log(Part::kStore, LogLevel::kWarning,
        "the published configuration was removed; the last one stays");
    return;
  }
  std::optional<Routing> routing;
  const auto error =
      CaptureInto(routing, [&] { return dialect_.read_routing(item.value); });
  if (error) {
    Log(Part::kStore, LogLevel::kWarning,
        "refused a published configuration: " + error->detail);
    return;
  }
  PostTable({kRoutingShard, routing->revision, EncodeRouting(*routing)});
}

auto StoreTask::TakeTarget(const TargetId& id,
                           const StoreItem& item,
                           std::vector<RegisteredTarget>* targets) -> void {
  if (item.removed) {
    tracker_.OnRemoved(id, Now());
    return;
  }
  std::optional<RegisteredTarget> target;
  const auto error =
      CaptureInto(target, [&] { return dialect_.read_target(id, item.value); });
  if (error) {
    Log(Part::kStore, LogLevel::kWarning,
        "entry " + id.value() + " names no target: " + error->detail);
    if (targets == nullptr) {
      tracker_.OnRemoved(id, Now());
    }
    return;
  }
  if (targets != nullptr) {
    targets->push_back(std::move(*target));
    return;
  }
  tracker_.OnChanged(*target, Now());
}

auto StoreTask::Propose() -> void {
  const auto registry = tracker_.ProposeRegistry(last_as_of_, Now());
  if (!registry) {
    return;
  }
  PostTable({kRegistryShard, registry->revision, EncodeRegistry(*registry)});
}

auto StoreTask::PostTable(TableRead read) -> void {
  outbox_.Post(std::move(read));
  if (outbox_.has_kept()) {
    post_timer_.Schedule(kPostRetry);
  }
}

}  // namespace flamingoyoke
