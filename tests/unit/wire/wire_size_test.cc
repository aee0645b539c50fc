#include "unit/decision/fleet/wire_size.h"

#include <criterion/criterion.h>

#include <vector>

#include "wire/peer_codec.h"

namespace flamingoyoke {
namespace {

auto MakeMember() -> Member {
  Member member;
  member.id = VmId("vm-17");
  member.incarnation = Incarnation(1'700'000'000'123);
  member.failure_domain = FailureDomainId("fd-1");
  member.region = RegionId("r-0");
  member.address = "10.0.0.17:80";
  member.mesh_address = "10.0.0.17:7000";
  member.liveness = Liveness::kAlive;
  member.ready = true;
  member.capacity = {500, 200'000};
  member.load = {120, 9'000};
  member.version = 3;
  return member;
}

// Guards against fleet benchmarks whose byte counts differ from what the mesh
// sends.
Test(wire_size, matches_the_encoded_message) {
  const std::vector<PeerMessage> messages = {
      Heartbeat{123456, 123450, false, true, {{0, Revision(9), 77}}, 5},
      IndirectProbe{VmId("vm-3"), Incarnation(300), true, true},
      MemberUpdate{{MakeMember(), MakeMember()}, true, {1, 2, 3}},
      TableAnnounce{{2, Revision(300), 3}},
      TablePull{1, Revision(200)},
      TablePull{1, Revision(200), {}, 77},
      TableData{{1, Revision(2), 3}, std::string(3000, 'x')},
      QuotaRequest{300, {{TeamId("team-1"), 12.5, 0, 3}}, 88},
      QuotaGrant{300, std::chrono::seconds(20), {{TeamId("t"), 9, 1, 3, 0.5}}},
      QuotaRecall{{TeamId("a"), TeamId("b")}},
      CompressedTable{{1, Revision(2), 3}, 9, std::string(300, 'x')}};
  for (const auto& message : messages) {
    const PeerEnvelope envelope{VmId("vm-1"), Incarnation(1'700'000'000'000),
                                message};
    cr_assert_eq(WireSize::Of(envelope), EncodeEnvelope(envelope).size(),
                 "message kind %zu", message.index());
  }
}

}  // namespace
}  // namespace flamingoyoke
