#include "node/control/platform/vm_list_reader.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "core/endpoint.h"
#include "node/log.h"
#include "wire/bounded_json.h"

namespace flamingoyoke {
namespace {

auto ReadVm(const nlohmann::json& vm) -> Member {
  return {.id = VmId(ReadName(vm.at("id"))),
          .failure_domain = FailureDomainId(ReadName(vm.at("failure_domain"))),
          .region = RegionId(vm.value("region", std::string())),
          .address = ReadName(vm.at("address")),
          .mesh_address = ReadName(vm.at("mesh_address")),
          .leaving = vm.value("state", std::string("live")) == "leaving"};
}

// Returns nothing for an invalid entry, which must not hide the other VMs.
auto ParseVm(const nlohmann::json& vm) -> std::optional<Member> {
  try {
    auto member = ReadVm(vm);
    const auto mesh = ParseEndpoint(member.mesh_address);
    if (mesh && mesh->endpoint.port != 0) {
      return member;
    }
    Log(Part::kPlatform, LogLevel::kWarning,
        "ignored an entry of the VM list: invalid mesh address");
  } catch (const std::exception& error) {
    Log(Part::kPlatform, LogLevel::kWarning,
        "ignored an entry of the VM list: " + DescribeJsonError(error));
  }
  return std::nullopt;
}

}  // namespace

auto ParseVmList(std::string_view json) -> Result<std::vector<Member>> {
  try {
    const auto list = ParseBoundedJson(json);
    std::vector<Member> members;
    for (const auto& vm : list.at("vms")) {
      if (auto member = ParseVm(vm)) {
        members.push_back(std::move(*member));
      }
    }
    return members;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kPlatformUnavailable,
                "malformed VM list: " + DescribeJsonError(error));
  }
}

}  // namespace flamingoyoke
