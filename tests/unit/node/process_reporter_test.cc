#include "node/process_reporter.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

namespace flamingoyoke {
namespace {

auto ValueOf(const std::vector<MetricSample>& samples, const std::string& name)
    -> double {
  const auto found =
      std::find_if(samples.begin(), samples.end(),
                   [&](const MetricSample& each) { return each.name == name; });
  cr_assert(found != samples.end());
  return found->value;
}

// Two ends of a TCP connection. The kernel doesn't queue what is sent on a Unix
// socket at the end that sends.
auto ConnectedSockets() -> std::array<int, 2> {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  cr_assert_eq(bind(listener, generic, size), 0);
  cr_assert_eq(listen(listener, 1), 0);
  cr_assert_eq(getsockname(listener, generic, &size), 0);
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  cr_assert_eq(connect(client, generic, size), 0);
  const int accepted = accept(listener, nullptr, nullptr);
  cr_assert_geq(accepted, 0);
  close(listener);
  return {client, accepted};
}

}  // namespace

// Guards against a process whose use of limited resources cannot be seen, and
// against reading the system with each report.
Test(process_reporter, counts_threads_and_descriptors_every_5_s) {
  ProcessReporter reporter;
  const TimePoint now{std::chrono::seconds(100)};
  const auto before =
      ValueOf(reporter.Report(now), "flamingoyoke_process_descriptors");
  cr_assert_geq(ValueOf(reporter.Report(now), "flamingoyoke_process_threads"),
                1);
  const int opened = dup(STDIN_FILENO);
  const auto soon = now + std::chrono::seconds(4);
  cr_assert_eq(
      ValueOf(reporter.Report(soon), "flamingoyoke_process_descriptors"),
      before);
  const auto later = now + std::chrono::seconds(5);
  cr_assert_eq(
      ValueOf(reporter.Report(later), "flamingoyoke_process_descriptors"),
      before + 1);
  close(opened);
}

// Guards against a process whose memory is used up by the kernel's buffers of
// its sockets without a figure that shows it.
Test(process_reporter, measures_memory_and_socket_buffers_every_5_s) {
  ProcessReporter reporter;
  const TimePoint now{std::chrono::seconds(100)};
  const std::string received = "flamingoyoke_process_socket_receive_bytes";
  const std::string sent = "flamingoyoke_process_socket_send_bytes";
  const auto received_before = ValueOf(reporter.Report(now), received);
  const auto sent_before = ValueOf(reporter.Report(now), sent);
  constexpr double kLeastResidentBytes = 100'000;
  cr_assert_gt(
      ValueOf(reporter.Report(now), "flamingoyoke_process_resident_bytes"),
      kLeastResidentBytes);
  const auto ends = ConnectedSockets();
  const std::string bytes(50'000, 'x');
  cr_assert_eq(write(ends[0], bytes.data(), bytes.size()),
               static_cast<ssize_t>(bytes.size()));
  const auto soon = now + std::chrono::seconds(4);
  cr_assert_eq(ValueOf(reporter.Report(soon), received), received_before);
  const auto later = now + std::chrono::seconds(5);
  const auto buffered = ValueOf(reporter.Report(later), received) -
                        received_before +
                        ValueOf(reporter.Report(later), sent) - sent_before;
  cr_assert_geq(buffered, static_cast<double>(bytes.size()));
  close(ends[0]);
  close(ends[1]);
}

}  // namespace flamingoyoke
