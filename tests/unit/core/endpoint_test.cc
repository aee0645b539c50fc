#include "core/endpoint.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

// Guards against strings that the socket libraries would resolve as host names.
Test(endpoint, rejects_everything_but_ip_address_and_port) {
  for (const auto* text : {"",
                           ":",
                           "localhost:1",
                           "1.2.3:4",
                           "1.2.3.4.5:6",
                           "1.2.3.4",
                           "1.2.3.4:",
                           "1.2.3.4:x",
                           "1.2.3.4:070",
                           "1.2.3.4:65536",
                           "1.2..4:5",
                           "256.1.1.1:1",
                           "[]:1",
                           "[:]:1",
                           "[1::2::3]:1",
                           "[1:2:3:4:5:6:7]:1",
                           "[1:2:3:4:5:6:7:8:9]:1",
                           "[::12345]:1",
                           "[::1%lo]:1",
                           "::1:1",
                           "[1:2:3:4:5:6:7::8]:1:",
                           "[1.2.3.4]:1",
                           " 1.2.3.4:5"}) {
    cr_assert_not(ParseEndpoint(text).has_value(), "%s", text);
  }
}

// Guards against treating two notations of the same address as different.
Test(endpoint, compares_addresses_by_value) {
  const auto a = ParseEndpoint("[::1]:80");
  const auto b = ParseEndpoint("[0:0:0:0:0:0:0:01]:80");
  cr_assert(a && b);
  cr_assert(a->endpoint == b->endpoint);
  cr_assert(ParseEndpoint("[1::]:1")->endpoint <
            ParseEndpoint("[1::1]:1")->endpoint);
}

// Guards against passing the brackets of an IPv6 address to the socket library.
Test(endpoint, gives_the_host_without_brackets) {
  const auto named = ParseEndpoint("[fe80::2]:443");
  cr_assert(named.has_value());
  cr_assert_eq(named->host, "fe80::2");
  cr_assert_eq(named->endpoint.port, 443);
  cr_assert_eq(ParseEndpoint("0.0.0.0:0")->host, "0.0.0.0");
}

}  // namespace
}  // namespace flamingoyoke
