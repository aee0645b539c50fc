#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <thread>

#include "integration/support/published_fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(address_in_use, .fini = &ChildProcess::KillAll, .timeout = 300);

// Longer than the restarts of a task and of all supervisors above it.
constexpr auto kHeldTime = std::chrono::seconds(13);

// A socket that listens on an address.
class HeldAddress {
 public:
  explicit HeldAddress(const NamedEndpoint& address)
      : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.endpoint.port);
    inet_pton(AF_INET, address.host.c_str(), &name.sin_addr);
    cr_assert_eq(bind(descriptor_, reinterpret_cast<const sockaddr*>(&name),
                      sizeof(name)),
                 0);
    cr_assert_eq(listen(descriptor_, 1), 0);
  }
  ~HeldAddress() { close(descriptor_); }
  HeldAddress(const HeldAddress&) = delete;
  auto operator=(const HeldAddress&) -> HeldAddress& = delete;

 private:
  int descriptor_;
};

// Kills a gateway and starts it again while `held` is not free.
auto RestartBeside(PublishedStoreFleet& fleet,
                   std::size_t gateway,
                   const NamedEndpoint& address,
                   std::optional<HeldAddress>& held) -> void {
  fleet.gateway(gateway).Signal(SIGKILL);
  fleet.gateway(gateway).WaitForExit(kFleetTimeout);
  held.emplace(address);
  fleet.StartGateway(gateway);
}

}  // namespace

// Guards against a process that exits, or to which callers are sent, while
// another process holds one of its addresses.
Test(address_in_use, gateways_wait_until_their_addresses_are_free) {
  // One gateway for each kind of address, and one that the test asks.
  PublishedStoreFleet fleet(1, 20, 6);
  fleet.WaitForAll();
  const auto observer = fleet.gateways() - 1;
  std::array<std::optional<HeldAddress>, 5> held;
  for (std::size_t i = 0; i < held.size(); ++i) {
    RestartBeside(fleet, i, fleet.AddressesOf(i).at(i), held.at(i));
  }
  std::this_thread::sleep_for(kHeldTime);
  const auto directory = fleet.http().Send(
      {.server = fleet.DirectoryOf(observer),
       .target = "/flamingoyoke/resolve?name=x&region=r&zone=a"});
  for (std::size_t i = 0; i < held.size(); ++i) {
    cr_assert(fleet.gateway(i).IsRunning(), "gateway %zu ended", i);
    // The last address is for operators; callers are served without it.
    const bool serves = i + 1 == held.size();
    cr_assert_eq(fleet.IsReady(i), serves, "gateway %zu", i);
    cr_assert(serves || directory.body.find(fleet.FrontOf(i).text) ==
                            std::string::npos,
              "callers are sent to gateway %zu: %s", i, directory.body.c_str());
  }
  for (auto& address : held) {
    address.reset();
  }
  fleet.WaitForAll();
}

// Guards against a process that doesn't stop while it waits for an address.
Test(address_in_use, sigterm_ends_the_wait) {
  PublishedStoreFleet fleet(1);
  fleet.WaitForAll();
  std::optional<HeldAddress> held;
  RestartBeside(fleet, 0, fleet.FrontOf(0), held);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.gateway(0).Signal(SIGTERM);
  cr_assert_eq(fleet.gateway(0).WaitForExit(kFleetTimeout), 0);
}

}  // namespace flamingoyoke::integration
