#include "node/traffic/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {
namespace {

// The kernel's buffers for targets have a quarter of what answers may take in
// the process.
constexpr std::uint64_t kAnswerMemoryPerBufferMemory = 4;

}  // namespace

UpstreamPool::UpstreamPool(EventLoop& loop,
                           UpstreamInterface interface,
                           AnswerMemory& memory,
                           ConnectionPart& part)
    : loop_(loop),
      interface_(std::move(interface)),
      memory_(memory),
      part_(part),
      cleanup_timer_(loop.MakeTimer([this] { discarded_.clear(); })),
      registration_(part, [this] { return CloseIdle(); }) {}

auto UpstreamPool::Configure(const ServiceRow& row) -> void {
  max_connections_ = std::max<std::size_t>(
      1, row.connections / std::max<std::uint32_t>(1, row.home));
  std::unordered_map<TargetId, TargetConnections> targets;
  for (const auto& spec : row.targets) {
    auto& entry = targets[spec.id];
    const auto known = targets_.find(spec.id);
    if (known != targets_.end()) {
      entry = std::move(known->second);
      targets_.erase(known);
    }
    entry.spec = spec;
  }
  for (auto& [id, removed] : targets_) {
    for (auto& connection : removed.idle) {
      Discard(std::move(connection));
    }
  }
  targets_ = std::move(targets);
}

auto UpstreamPool::Acquire(const TargetId& target, bool force_new) -> Lease {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return {};
  }
  auto& entry = found->second;
  Lease lease{target, entry.generation, nullptr, false};
  while (!force_new && !entry.idle.empty() && !lease.connection) {
    // The most recently used connection is the least likely to be closed by the
    // upstream.
    auto connection = std::move(entry.idle.back());
    entry.idle.pop_back();
    connection->set_on_idle_close(nullptr);
    if (connection->usable()) {
      lease.connection = std::move(connection);
    } else {
      Discard(std::move(connection));
    }
  }
  if (!lease.connection &&
      entry.leased + entry.idle.size() >= max_connections_) {
    if (entry.idle.empty()) {
      return {};
    }
    Discard(std::move(entry.idle.front()));
    entry.idle.erase(entry.idle.begin());
  }
  if (!lease.connection) {
    if (!part_.MakeRoom()) {
      lease.is_part_used_up = true;
      return lease;
    }
    lease.connection = std::make_unique<UpstreamConnection>(
        loop_, entry.spec.host, entry.spec.port, interface_, memory_);
    lease.connection->set_share(ConnectionPart::Share(part_));
    lease.connection->set_socket_buffers(SocketBuffersFor(
        memory_.limit() / kAnswerMemoryPerBufferMemory, part_.used()));
  }
  ++entry.leased;
  return lease;
}

auto UpstreamPool::Release(Lease lease) -> void {
  const auto found = targets_.find(lease.target);
  if (found == targets_.end()) {
    Discard(std::move(lease.connection));
    return;
  }
  auto& entry = found->second;
  entry.leased -= std::min<std::size_t>(entry.leased, 1);
  if (lease.generation != entry.generation || !lease.connection->usable()) {
    Discard(std::move(lease.connection));
    return;
  }
  const auto* connection = lease.connection.get();
  lease.connection->set_on_idle_close(
      [this, target = lease.target, connection] {
        OnIdleClose(target, connection);
      });
  entry.idle.push_back(std::move(lease.connection));
}

auto UpstreamPool::Retire(const TargetId& target) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  ++found->second.generation;
  for (auto& connection : found->second.idle) {
    Discard(std::move(connection));
  }
  found->second.idle.clear();
}

auto UpstreamPool::open_connections(const TargetId& target) const
    -> std::size_t {
  const auto found = targets_.find(target);
  return found == targets_.end()
             ? 0
             : found->second.idle.size() + found->second.leased;
}

auto UpstreamPool::OnIdleClose(const TargetId& target,
                               const UpstreamConnection* closed) -> void {
  auto& idle = targets_[target].idle;
  const auto found = std::find_if(
      idle.begin(), idle.end(),
      [&](const auto& connection) { return connection.get() == closed; });
  if (found == idle.end()) {
    return;
  }
  Discard(std::move(*found));
  idle.erase(found);
}

auto UpstreamPool::CloseIdle() -> bool {
  const auto found = std::max_element(
      targets_.begin(), targets_.end(), [](const auto& a, const auto& b) {
        return a.second.idle.size() < b.second.idle.size();
      });
  if (found == targets_.end() || found->second.idle.empty()) {
    return false;
  }
  auto& idle = found->second.idle;
  Discard(std::move(idle.front()));
  idle.erase(idle.begin());
  return true;
}

auto UpstreamPool::Discard(std::unique_ptr<UpstreamConnection> connection)
    -> void {
  connection->Abandon();
  discarded_.push_back(std::move(connection));
  cleanup_timer_.Schedule(Duration::zero());
}

}  // namespace flamingoyoke
