#include "node/traffic/upstream_pool.h"

#include <criterion/criterion.h>

namespace flamingoyoke {

// Guards against a target that gets no connection, or one beyond the part of
// all pools, while another target's connection is idle.
Test(upstream_pool, an_idle_connection_gives_way_to_another_target) {
  EventLoop loop;
  AnswerMemory memory(1 << 20);
  ConnectionPart part(Part::kTraffic, DescriptorUse::kTargets, 1);
  ServiceRow row;
  row.targets = {{TargetId("a"), "127.0.0.1", 1, 1.0, {}},
                 {TargetId("b"), "127.0.0.1", 2, 1.0, {}}};
  UpstreamPool pool(loop, NativeUpstreamInterface(), memory, part);
  pool.Configure(row);
  pool.Release(pool.Acquire(TargetId("a"), false));
  auto lease = pool.Acquire(TargetId("b"), false);
  cr_assert(lease.connection);
  auto timer = loop.MakeTimer([&] { loop.Quit(); });
  timer.Schedule(std::chrono::milliseconds(1));
  loop.Run();
  cr_expect_eq(part.used(), 1);
  const auto refused = pool.Acquire(TargetId("a"), false);
  cr_expect_not(refused.connection);
  cr_expect(refused.is_part_used_up);
  pool.Release(std::move(lease));
  cr_expect(pool.Acquire(TargetId("a"), false).connection);
}

}  // namespace flamingoyoke
