#include "node/control/platform/vm_list_reader.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <vector>

namespace flamingoyoke {

// One invalid entry must not hide the other VMs of the list; otherwise a VM
// keeps an outdated list for as long as the entry stays.
Test(vm_list_reader, keeps_the_valid_entries_beside_an_invalid_one) {
  const std::string good =
      R"({"id":"vm-1","failure_domain":"a","address":"10.0.0.1:80",
          "mesh_address":"10.0.0.1:7000"})";
  for (const std::string odd :
       {R"({"id":"vm-2"})", "7", "null",
        R"({"id":7,"failure_domain":"a","address":"x","mesh_address":"y"})",
        R"({"id":"vm-2","failure_domain":"a","address":"10.0.0.2:80",
            "mesh_address":"10.0.0.2:70000"})"}) {
    auto list = std::string("{\"vms\":[");
    list.append(odd).append(",").append(good).append("]}");
    std::optional<std::vector<Member>> members;
    cr_assert_not(CaptureInto(members, [&] { return ParseVmList(list); }), "%s",
                  odd.c_str());
    cr_assert_eq(members->size(), 1U);
    cr_assert_eq(members->front().id, VmId("vm-1"));
  }
}

Test(vm_list_reader, rejects_malformed_lists) {
  const auto nested =
      "{\"vms\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}";
  for (const std::string& text :
       {std::string("{"), std::string("{}"), nested}) {
    std::optional<std::vector<Member>> members;
    cr_assert(CaptureInto(members, [&] { return ParseVmList(text); }));
  }
}

}  // namespace flamingoyoke
